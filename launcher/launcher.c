/*
 * Unpack the archive appended to this executable once, then exec its program.
 *
 * File layout: this executable, the entries, the trailer. An entry is a struct entry,
 * its path and its content. script/pack.py writes them in native byte order.
 */
#define _GNU_SOURCE
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <limits.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <unistd.h>

#define PROGRAM "corianderhold"
#define DIRECTORY_VARIABLE "CORIANDERHOLD_UNPACK_DIR"
#define MAGIC "CORIANDR"
#define DIGEST_LENGTH 64
#define EXIT_UNUSABLE 126
#define NFTW_DESCRIPTORS 16
#define BASES_MAX 3

struct entry {
    uint32_t mode;
    uint32_t path_length;
    uint64_t size;
};

struct trailer {
    uint64_t archive_offset;
    uint64_t unpacked_size;
    char digest[DIGEST_LENGTH];
    char magic[sizeof MAGIC - 1];
};

struct archive {
    const char *begin;
    const char *end;
    uint64_t unpacked_size;
    char digest[DIGEST_LENGTH + 1];
};

static void fail(const char *format, ...) __attribute__((noreturn, format(printf, 1, 2)));

/* Print an error message and exit with EXIT_UNUSABLE. */
static void fail(const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    fputs(PROGRAM ": ", stderr);
    vfprintf(stderr, format, arguments);
    fputc('\n', stderr);
    va_end(arguments);
    exit(EXIT_UNUSABLE);
}

static void format_path(char path[PATH_MAX], const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Format a path; exit if it is too long. */
static void format_path(char path[PATH_MAX], const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    int length = vsnprintf(path, PATH_MAX, format, arguments);
    va_end(arguments);
    if (length < 0 || length >= PATH_MAX)
        fail("the path of the unpack directory is too long");
}

/* Format the path of the unpacked directory below `base`. */
static void format_final_path(char path[PATH_MAX], const char *base,
                              const struct archive *archive)
{
    format_path(path, "%s/%s-%u-%s", base, PROGRAM, geteuid(), archive->digest);
}

/* Map this executable and locate the archive in it. */
static struct archive read_archive(void)
{
    int file = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);
    struct stat status;
    if (file < 0 || fstat(file, &status) != 0)
        fail("cannot read /proc/self/exe: %s", strerror(errno));
    size_t size = (size_t)status.st_size;
    const char *content = mmap(NULL, size, PROT_READ, MAP_PRIVATE, file, 0);
    if (content == MAP_FAILED)
        fail("cannot map /proc/self/exe: %s", strerror(errno));
    close(file);

    struct trailer trailer;
    memcpy(&trailer, content + size - sizeof trailer, sizeof trailer);
    if (memcmp(trailer.magic, MAGIC, sizeof trailer.magic) != 0 ||
        trailer.archive_offset > size - sizeof trailer)
        fail("this file is incomplete: it ends without an archive");
    struct archive archive = {
        .begin = content + trailer.archive_offset,
        .end = content + size - sizeof trailer,
        .unpacked_size = trailer.unpacked_size,
    };
    memcpy(archive.digest, trailer.digest, DIGEST_LENGTH);
    return archive;
}

/* Return whether `path` is a directory owned by this user with mode 0700. */
static int is_private_directory(const char *path)
{
    struct stat status;
    return lstat(path, &status) == 0 && S_ISDIR(status.st_mode) &&
           status.st_uid == geteuid() && (status.st_mode & 07777) == 0700;
}

/* Return why the archive cannot be unpacked below `base`, or NULL if it can. */
static const char *find_obstacle(const char *base, uint64_t unpacked_size)
{
    struct stat status;
    struct statvfs file_system;
    if (stat(base, &status) != 0 || statvfs(base, &file_system) != 0)
        return strerror(errno);
    if (!S_ISDIR(status.st_mode))
        return "not a directory";
    if (access(base, W_OK | X_OK) != 0)
        return strerror(errno);
    if ((status.st_mode & (S_IWGRP | S_IWOTH)) && !(status.st_mode & S_ISVTX))
        return "others may write to it and it is not sticky";
    if (file_system.f_flag & ST_NOEXEC)
        return "mounted noexec";
    if ((uint64_t)file_system.f_bavail * file_system.f_frsize < unpacked_size)
        return "not enough room";
    return NULL;
}

/* nftw callback: remove one path. */
static int remove_path(const char *path, const struct stat *status, int type,
                       struct FTW *position)
{
    (void)status, (void)type, (void)position;
    return remove(path);
}

/* Remove a directory recursively. */
static void remove_tree(const char *path)
{
    nftw(path, remove_path, NFTW_DESCRIPTORS, FTW_DEPTH | FTW_PHYS);
}

/* Remove temporary directories of interrupted starts; the caller holds the lock. */
static void remove_leftovers(const char *base)
{
    char prefix[PATH_MAX], path[PATH_MAX];
    format_path(prefix, ".%s-%u-", PROGRAM, geteuid());
    DIR *directory = opendir(base);
    if (directory == NULL)
        return;
    struct dirent *found;
    while ((found = readdir(directory)) != NULL) {
        if (strncmp(found->d_name, prefix, strlen(prefix)) != 0)
            continue;
        format_path(path, "%s/%s", base, found->d_name);
        if (is_private_directory(path))
            remove_tree(path);
    }
    closedir(directory);
}

/* Lock `base` so that one process at a time unpacks; released on exec or exit. */
static int lock_base(const char *base)
{
    char path[PATH_MAX];
    struct stat status;
    format_path(path, "%s/.%s-%u.lock", base, PROGRAM, geteuid());
    int lock = open(path, O_RDWR | O_CREAT | O_NOFOLLOW | O_CLOEXEC, 0600);
    if (lock < 0 || fstat(lock, &status) != 0)
        fail("cannot open %s: %s", path, strerror(errno));
    if (status.st_uid != geteuid())
        fail("%s belongs to another user", path);
    while (flock(lock, LOCK_EX) != 0)
        if (errno != EINTR)
            fail("cannot lock %s: %s", path, strerror(errno));
    return lock;
}

/* Write a new file; return 0, or -1 with errno set. */
static int write_file(const char *path, mode_t mode, const char *content, uint64_t size)
{
    int file = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
    if (file < 0)
        return -1;
    while (size > 0) {
        ssize_t written = write(file, content, size);
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0) {
            int error = errno;
            close(file);
            errno = error;
            return -1;
        }
        content += written;
        size -= (uint64_t)written;
    }
    return close(file);
}

/* Write one entry; return 0, or -1 with errno set. */
static int write_entry(const char *path, const struct entry *entry, const char *content)
{
    char target[PATH_MAX];
    switch (entry->mode & S_IFMT) {
    case S_IFDIR:
        return mkdir(path, 0700);
    case S_IFLNK:
        format_path(target, "%.*s", (int)entry->size, content);
        return symlink(target, path);
    default:
        return write_file(path, entry->mode & 0700, content, entry->size);
    }
}

/* Write all entries below `directory`; return 0, or -1 with errno set. */
static int write_entries(const struct archive *archive, const char *directory)
{
    const char *position = archive->begin;
    while (position < archive->end) {
        struct entry entry;
        char path[PATH_MAX];
        memcpy(&entry, position, sizeof entry);
        position += sizeof entry;
        format_path(path, "%s/%.*s", directory, (int)entry.path_length, position);
        position += entry.path_length;
        if (write_entry(path, &entry, position) != 0)
            return -1;
        position += entry.size;
    }
    return 0;
}

/* Unpack to a temporary directory and rename it to `final`. */
static void unpack(const struct archive *archive, const char *base, const char *final)
{
    char temporary[PATH_MAX];
    int lock = lock_base(base);
    if (is_private_directory(final)) {
        close(lock);
        return;
    }
    remove_leftovers(base);
    format_path(temporary, "%s/.%s-%u-XXXXXX", base, PROGRAM, geteuid());
    if (mkdtemp(temporary) == NULL)
        fail("cannot create a directory in %s: %s", base, strerror(errno));
    if (write_entries(archive, temporary) != 0 || rename(temporary, final) != 0) {
        int error = errno;
        remove_tree(temporary);
        fail("cannot unpack to %s: %s", final, strerror(error));
    }
    close(lock);
}

/* Return whether `final` is already unpacked; exit if it exists but is not private. */
static int find_unpacked(const char *final)
{
    struct stat status;
    if (lstat(final, &status) != 0)
        return 0;
    if (!is_private_directory(final))
        fail("%s is not a directory of this user with mode 0700; remove it", final);
    return 1;
}

/* List the candidate base directories in order of preference; return their number. */
static size_t list_bases(const char *bases[BASES_MAX])
{
    const char *chosen = getenv(DIRECTORY_VARIABLE);
    const char *runtime = getenv("XDG_RUNTIME_DIR");
    size_t count = 0;
    if (chosen != NULL) {
        if (*chosen != '/')
            fail("%s must be an absolute path", DIRECTORY_VARIABLE);
        bases[count++] = chosen;
        return count;
    }
    if (runtime != NULL && *runtime == '/')
        bases[count++] = runtime;
    bases[count++] = "/run";
    bases[count++] = "/tmp";
    return count;
}

/* Find or create the unpacked directory and write its path to `final`. */
static void prepare_directory(const struct archive *archive, char final[PATH_MAX])
{
    const char *bases[BASES_MAX];
    const char *obstacle = NULL;
    size_t count = list_bases(bases);

    for (size_t i = 0; i < count; i++) {
        format_final_path(final, bases[i], archive);
        if (find_unpacked(final))
            return;
    }
    for (size_t i = 0; i < count; i++) {
        obstacle = find_obstacle(bases[i], archive->unpacked_size);
        if (obstacle != NULL)
            continue;
        format_final_path(final, bases[i], archive);
        unpack(archive, bases[i], final);
        return;
    }
    fail("cannot unpack to %s: %s; set %s to a directory with %llu MB free",
         bases[count - 1], obstacle, DIRECTORY_VARIABLE,
         (unsigned long long)(archive->unpacked_size >> 20) + 1);
}

int main(int argc, char **argv)
{
    char final[PATH_MAX], program[PATH_MAX];
    (void)argc;
    struct archive archive = read_archive();
    prepare_directory(&archive, final);
    format_path(program, "%s/%s", final, PROGRAM);
    execv(program, argv);
    fail("cannot start %s: %s", program, strerror(errno));
}
