/* Makes chosen system calls of one process fail, as Linux documents them to; loaded with LD_PRELOAD.
 *
 * FAULTS        rules, apart by commas: CALL:ERRNO:CHANCE[:half], CHANCE in thousandths, or #N for the N-th call alone
 * FAULTS_SEED   seed of the chances
 * FAULTS_GATE   rules apply while this file exists
 * FAULTS_FOLDER open, create, read, write, close, truncate, rename, unlink, stat and flock count below this folder alone
 * FAULTS_HITS   a file to which each call that was made to fail is appended, as "CALL ERRNO"
 *
 * A write with `half` takes half of the bytes and says so; the next one to that file fails. A `close` that fails has
 * closed, as on Linux. `wake` is a write to a pipe, `log` one to standard error.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

enum { RULES_MOST = 64, FILES_MOST = 4096, NAME_MOST = 24, PATH_ROOM = 512 };
enum kind { OTHER, FOLDER_FILE, PIPE, SOCKET };

struct rule {
    char call[NAME_MOST];
    int error, chance, half;
    long only, seen;
};

static struct rule rules[RULES_MOST];
static int rule_count, hits = -1;
static unsigned char kinds[FILES_MOST], failing[FILES_MOST];
static uint64_t state = 88172645463325252ULL;
static char gate[PATH_ROOM], folder[PATH_ROOM];

static unsigned draw(void)
{
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return (unsigned)(state >> 20) % 1000;
}

__attribute__((constructor)) static void begin(void)
{
    const char *text = getenv("FAULTS"), *seed = getenv("FAULTS_SEED"), *path = getenv("FAULTS_HITS");
    if (seed)
        state += strtoull(seed, NULL, 10) * 2654435761ULL;
    for (int i = 0; i < 8; i++)
        draw();
    snprintf(gate, sizeof gate, "%s", getenv("FAULTS_GATE") ? getenv("FAULTS_GATE") : "");
    snprintf(folder, sizeof folder, "%s", getenv("FAULTS_FOLDER") ? getenv("FAULTS_FOLDER") : "");
    if (path)
        hits = (int)syscall(SYS_openat, AT_FDCWD, path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (hits >= 0)
        hits = fcntl(hits, F_DUPFD_CLOEXEC, 1000);
    char copy[4096];
    snprintf(copy, sizeof copy, "%s", text ? text : "");
    for (char *word = strtok(copy, ","); word && rule_count < RULES_MOST; word = strtok(NULL, ",")) {
        struct rule *rule = &rules[rule_count];
        char chance[16] = "", more[8] = "";
        if (sscanf(word, "%23[^:]:%d:%15[^:]:%7s", rule->call, &rule->error, chance, more) < 3)
            abort();
        rule->half = !strcmp(more, "half");
        if (chance[0] == '#')
            rule->only = atol(chance + 1);
        else
            rule->chance = atoi(chance);
        rule_count++;
    }
}

static int open_gate(void)
{
    return !gate[0] || syscall(SYS_faccessat, AT_FDCWD, gate, F_OK) == 0;
}

static void hit(const char *call, int error)
{
    char line[64];
    int size = snprintf(line, sizeof line, "%s %d\n", call, error);
    if (hits >= 0)
        syscall(SYS_write, hits, line, (size_t)size);
}

static struct rule *fault(const char *call)
{
    for (int i = 0; i < rule_count; i++) {
        struct rule *rule = &rules[i];
        if (strcmp(rule->call, call))
            continue;
        int kept = errno;
        int applies = open_gate();
        errno = kept;
        if (!applies)
            continue;
        rule->seen++;
        if (rule->only ? rule->seen == rule->only : (int)draw() < rule->chance)
            return rule;
    }
    return NULL;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define FAIL(call, value)                      \
    do {                                       \
        struct rule *told = fault(call);       \
        if (told) {                            \
            hit(call, told->error);            \
            errno = told->error;               \
            return value;                      \
        }                                      \
    } while (0)

static int below(const char *path)
{
    return path && folder[0] && !strncmp(path, folder, strlen(folder));
}

static int is_config(const char *path)
{
    size_t size = path ? strlen(path) : 0;
    return size > 11 && !strcmp(path + size - 11, "config.json");
}

static void note(int file, enum kind kind)
{
    if (file >= 0 && file < FILES_MOST) {
        kinds[file] = kind;
        failing[file] = 0;
    }
}

static enum kind kind_of(int file)
{
    return file >= 0 && file < FILES_MOST ? kinds[file] : OTHER;
}

static int opened(const char *path, int flags, mode_t mode)
{
    if (is_config(path))
        FAIL("config", -1);
    else if (below(path)) {
        if (flags & O_CREAT)
            FAIL("create", -1);
        FAIL("open", -1);
    }
    int file = (int)syscall(SYS_openat, AT_FDCWD, path, flags, mode);
    note(file, below(path) && !is_config(path) ? FOLDER_FILE : OTHER);
    return file;
}

#define OPEN(name)                                     \
    int name(const char *path, int flags, ...)         \
    {                                                  \
        va_list more;                                  \
        va_start(more, flags);                         \
        mode_t mode = va_arg(more, mode_t);            \
        va_end(more);                                  \
        return opened(path, flags, mode);              \
    }
OPEN(open)
OPEN(open64)

#define STAT(name, type)                               \
    int name(const char *path, type *found)            \
    {                                                  \
        if (below(path) && !is_config(path))           \
            FAIL("stat", -1);                          \
        return REAL(name)(path, found);                \
    }
STAT(stat, struct stat)
STAT(stat64, struct stat64)

int close(int file)
{
    enum kind kind = kind_of(file);
    note(file, OTHER);
    int done = (int)syscall(SYS_close, file);
    if (kind == FOLDER_FILE)
        FAIL("close", -1);
    if (kind == SOCKET)
        FAIL("close_socket", -1);
    return done;
}

ssize_t write(int file, const void *data, size_t size)
{
    enum kind kind = kind_of(file);
    if (kind == PIPE)
        FAIL("wake", -1);
    if (file == STDERR_FILENO)
        FAIL("log", -1);
    if (kind == FOLDER_FILE && failing[file]) {
        int error = failing[file];
        failing[file] = 0;
        hit("write", error);
        errno = error;
        return -1;
    }
    struct rule *rule = kind == FOLDER_FILE ? fault("write") : NULL;
    if (rule && rule->half && size > 1) {
        failing[file] = (unsigned char)rule->error;
        return syscall(SYS_write, file, data, size / 2);
    }
    if (rule) {
        hit("write", rule->error);
        errno = rule->error;
        return -1;
    }
    return syscall(SYS_write, file, data, size);
}

ssize_t read(int file, void *data, size_t size)
{
    if (kind_of(file) == FOLDER_FILE)
        FAIL("read", -1);
    return syscall(SYS_read, file, data, size);
}

int ftruncate64(int file, off64_t size)
{
    FAIL("truncate", -1);
    return (int)syscall(SYS_ftruncate, file, size);
}

int ftruncate(int file, off_t size)
{
    return ftruncate64(file, size);
}

int rename(const char *old, const char *new)
{
    if (below(new))
        FAIL("rename", -1);
    return (int)syscall(SYS_renameat2, AT_FDCWD, old, AT_FDCWD, new, 0);
}

int unlink(const char *path)
{
    if (below(path))
        FAIL("unlink", -1);
    return (int)syscall(SYS_unlinkat, AT_FDCWD, path, 0);
}

int flock(int file, int operation)
{
    FAIL("flock", -1);
    return (int)syscall(SYS_flock, file, operation);
}

int pipe2(int ends[2], int flags)
{
    FAIL("pipe", -1);
    int done = (int)syscall(SYS_pipe2, ends, flags);
    if (!done)
        note(ends[1], PIPE);
    return done;
}

int eventfd(unsigned value, int flags)
{
    FAIL("eventfd", -1);
    return (int)syscall(SYS_eventfd2, value, flags);
}

int socket(int family, int type, int protocol)
{
    FAIL("socket", -1);
    int file = (int)syscall(SYS_socket, family, type, protocol);
    note(file, SOCKET);
    return file;
}

int bind(int file, const struct sockaddr *address, socklen_t size)
{
    FAIL("bind", -1);
    return (int)syscall(SYS_bind, file, address, size);
}

int listen(int file, int backlog)
{
    FAIL("listen", -1);
    return (int)syscall(SYS_listen, file, backlog);
}

int getsockname(int file, struct sockaddr *address, socklen_t *size)
{
    FAIL("getsockname", -1);
    return (int)syscall(SYS_getsockname, file, address, size);
}

int setsockopt(int file, int level, int name, const void *value, socklen_t size)
{
    FAIL("setsockopt", -1);
    return (int)syscall(SYS_setsockopt, file, level, name, value, size);
}

int getsockopt(int file, int level, int name, void *value, socklen_t *size)
{
    FAIL("getsockopt", -1);
    return (int)syscall(SYS_getsockopt, file, level, name, value, size);
}

int shutdown(int file, int how)
{
    FAIL("shutdown", -1);
    return (int)syscall(SYS_shutdown, file, how);
}

int accept4(int file, struct sockaddr *address, socklen_t *size, int flags)
{
    FAIL("accept", -1);
    int made = (int)syscall(SYS_accept4, file, address, size, flags);
    note(made, SOCKET);
    return made;
}

int connect(int file, const struct sockaddr *address, socklen_t size)
{
    FAIL("connect", -1);
    return (int)syscall(SYS_connect, file, address, size);
}

ssize_t recv(int file, void *data, size_t size, int flags)
{
    FAIL("recv", -1);
    struct rule *rule = fault("recv_short");
    return syscall(SYS_recvfrom, file, data, rule && size > 7 ? 7 : size, flags, NULL, NULL);
}

ssize_t send(int file, const void *data, size_t size, int flags)
{
    FAIL("send", -1);
    struct rule *rule = fault("send_short");
    return syscall(SYS_sendto, file, data, rule && size > 7 ? 7 : size, flags, NULL, 0);
}

int epoll_create1(int flags)
{
    FAIL("epoll_create", -1);
    return (int)syscall(SYS_epoll_create1, flags);
}

int epoll_ctl(int epoll, int operation, int file, struct epoll_event *event)
{
    if (operation == EPOLL_CTL_ADD)
        FAIL("epoll_add", -1);
    if (operation == EPOLL_CTL_MOD)
        FAIL("epoll_mod", -1);
    if (operation == EPOLL_CTL_DEL)
        FAIL("epoll_del", -1);
    return (int)syscall(SYS_epoll_ctl, epoll, operation, file, event);
}

int epoll_wait(int epoll, struct epoll_event *events, int most, int wait_ms)
{
    FAIL("epoll_wait", -1);
    return REAL(epoll_wait)(epoll, events, most, wait_ms);
}

int pthread_create(pthread_t *made, const pthread_attr_t *how, void *(*run)(void *), void *told)
{
    struct rule *rule = fault("thread");
    if (rule) {
        hit("thread", rule->error);
        return rule->error;
    }
    return REAL(pthread_create)(made, how, run, told);
}
