"""What speaks to sockets: the loop, the platform's protocol and mail."""
