/*
 * Makes system calls of one process fail in ways that Linux documents, for tests of marldeal. A test loads it with LD_PRELOAD
 * into the process that it starts; no other process is affected.
 *
 * Each of these variables holds a probability in thousandths (0 to 1000):
 *   SHIM_SHORT_READ, SHIM_SHORT_WRITE   fewer bytes than asked for
 *   SHIM_EINTR                          reads, writes, accepts and waits are interrupted
 *   SHIM_ACCEPT                         accept fails with ECONNABORTED, ENFILE, ENOBUFS and EMFILE in turn
 *   SHIM_CONNECT                        connect fails with EADDRNOTAVAIL, ENETUNREACH and ENOBUFS in turn
 *   SHIM_BROKEN                         a read fails with ETIMEDOUT or EHOSTUNREACH, once in a connection
 *   SHIM_HOLD                           the process is held up for SHIM_HOLD_MS before it writes to a TCP socket, and then not for 0.25 s
 * SHIM_SOCKET_FAILS and SHIM_BIND_FAILS  number of first calls that fail (ENFILE, ENOBUFS)
 * SHIM_OPEN_PATH, SHIM_OPEN_WHILE        opening the first path fails (ENFILE) while the second file exists
 * SHIM_CLOCK_STEP_MS                     offset of the wall clock; the monotonic clock is exact
 * SHIM_SEED                              seed of the random choices
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MOST_DESCRIPTORS 4096
#define HOLD_DISTANCE_MS 250

static long variable(const char *name) {
    const char *text = getenv(name);
    return text ? atol(text) : 0;
}

static long short_read, short_write, interrupted, accept_fails, connect_fails, broken, clock_step_ms, hold, hold_ms;
static atomic_long socket_fails, bind_fails;
static const char *open_path, *open_while;
static _Atomic uint64_t state;
static atomic_uint turn;
static atomic_uchar broke[MOST_DESCRIPTORS];

__attribute__((constructor)) static void read_variables(void) {
    short_read = variable("SHIM_SHORT_READ");
    short_write = variable("SHIM_SHORT_WRITE");
    interrupted = variable("SHIM_EINTR");
    accept_fails = variable("SHIM_ACCEPT");
    connect_fails = variable("SHIM_CONNECT");
    broken = variable("SHIM_BROKEN");
    clock_step_ms = variable("SHIM_CLOCK_STEP_MS");
    hold = variable("SHIM_HOLD");
    hold_ms = variable("SHIM_HOLD_MS");
    socket_fails = variable("SHIM_SOCKET_FAILS");
    bind_fails = variable("SHIM_BIND_FAILS");
    open_path = getenv("SHIM_OPEN_PATH");
    open_while = getenv("SHIM_OPEN_WHILE");
    state = (uint64_t)variable("SHIM_SEED") * 0x9e3779b97f4a7c15u + 1;
}

/* splitmix64 */
static uint64_t draw(void) {
    uint64_t z = atomic_fetch_add(&state, 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

static int chance(long thousandths) {
    return thousandths > 0 && (long)(draw() % 1000) < thousandths;
}

static int is_tcp(int fd) {
    int kind = 0, family = 0;
    socklen_t size = sizeof kind;
    if (getsockopt(fd, SOL_SOCKET, SO_TYPE, &kind, &size) != 0 || kind != SOCK_STREAM) return 0;
    size = sizeof family;
    return getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &family, &size) == 0 && family == AF_INET;
}

static int fail(int number) {
    errno = number;
    return -1;
}

/* Defines `real` as the C library's function of that name. */
#define REAL(name) \
    static __typeof__(name) *real; \
    if (!real) real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

static size_t fewer(size_t length, long thousandths) {
    return length > 1 && chance(thousandths) ? 1 + draw() % (length - 1 > 64 ? 64 : length - 1) : length;
}

ssize_t recv(int fd, void *to, size_t length, int flags) {
    REAL(recv);
    if ((flags & MSG_PEEK) || !is_tcp(fd)) return real(fd, to, length, flags);
    if (chance(interrupted)) return fail(EINTR);
    if (fd < MOST_DESCRIPTORS && chance(broken) && !atomic_exchange(&broke[fd], 1)) {
        return fail(draw() & 1 ? ETIMEDOUT : EHOSTUNREACH);
    }
    return real(fd, to, fewer(length, short_read), flags);
}

static int64_t monotonic_ms(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Holds the calling thread up, as a machine without a free processor would. */
static void hold_up(void) {
    static _Atomic int64_t next_ms;
    int64_t now_ms = monotonic_ms();
    if (hold == 0 || now_ms < next_ms || !chance(hold)) return;
    next_ms = now_ms + hold_ms + HOLD_DISTANCE_MS;
    struct timespec wait = {hold_ms / 1000, hold_ms % 1000 * 1000000};
    nanosleep(&wait, NULL);
    int64_t end_ms = monotonic_ms();
    if (end_ms - now_ms > hold_ms) {
        dprintf(STDERR_FILENO, "shim: held up until %lld ms, %lld ms too long\n", (long long)end_ms,
                (long long)(end_ms - now_ms - hold_ms));
    }
}

ssize_t send(int fd, const void *from, size_t length, int flags) {
    REAL(send);
    if (!is_tcp(fd)) return real(fd, from, length, flags);
    hold_up();
    if (chance(interrupted)) return fail(EINTR);
    return real(fd, from, fewer(length, short_write), flags);
}

ssize_t writev(int fd, const struct iovec *from, int count) {
    REAL(writev);
    if (!is_tcp(fd)) return real(fd, from, count);
    hold_up();
    if (chance(interrupted)) return fail(EINTR);
    if (count > 0 && from[0].iov_len > 0 && chance(short_write)) {
        struct iovec first = {from[0].iov_base, fewer(from[0].iov_len, 1000)};
        return real(fd, &first, 1);
    }
    return real(fd, from, count);
}

int accept4(int fd, struct sockaddr *from, socklen_t *size, int flags) {
    static const int kinds[] = {ECONNABORTED, ENFILE, ENOBUFS, EMFILE};
    REAL(accept4);
    if (chance(interrupted)) return fail(EINTR);
    if (chance(accept_fails)) return fail(kinds[atomic_fetch_add(&turn, 1) % 4]);
    int made = real(fd, from, size, flags);
    if (made >= 0 && made < MOST_DESCRIPTORS) broke[made] = 0;
    return made;
}

int connect(int fd, const struct sockaddr *to, socklen_t size) {
    static const int kinds[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS};
    REAL(connect);
    if (is_tcp(fd) && chance(connect_fails)) return fail(kinds[atomic_fetch_add(&turn, 1) % 3]);
    if (fd >= 0 && fd < MOST_DESCRIPTORS) broke[fd] = 0;
    return real(fd, to, size);
}

int socket(int domain, int kind, int protocol) {
    REAL(socket);
    if (domain == AF_INET && atomic_load(&socket_fails) > 0 && atomic_fetch_sub(&socket_fails, 1) > 0) {
        return fail(ENFILE);
    }
    return real(domain, kind, protocol);
}

int bind(int fd, const struct sockaddr *to, socklen_t size) {
    REAL(bind);
    if (atomic_load(&bind_fails) > 0 && atomic_fetch_sub(&bind_fails, 1) > 0) return fail(ENOBUFS);
    return real(fd, to, size);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    if (chance(interrupted)) return fail(EINTR);
    return real(fd, events, most, timeout);
}

static int open_refused(const char *path) {
    return open_path && open_while && strcmp(path, open_path) == 0 && access(open_while, F_OK) == 0;
}

int open64(const char *path, int flags, ...) {
    REAL(open64);
    va_list rest;
    va_start(rest, flags);
    mode_t mode = va_arg(rest, mode_t);
    va_end(rest);
    if (open_refused(path)) return fail(ENFILE);
    return real(path, flags, mode);
}

int clock_gettime(clockid_t which, struct timespec *at) {
    REAL(clock_gettime);
    int done = real(which, at);
    if (done == 0 && which == CLOCK_REALTIME && clock_step_ms != 0) {
        int64_t all = (int64_t)at->tv_sec * 1000000000 + at->tv_nsec + (int64_t)clock_step_ms * 1000000;
        at->tv_sec = all / 1000000000;
        at->tv_nsec = all % 1000000000;
    }
    return done;
}
