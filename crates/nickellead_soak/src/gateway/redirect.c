/* Sends the connections of one process to other loopback ports, as a file of 65,536 numbers says: the
 * number at the place of a port is the port to connect to instead, and 0 leaves the port as it is. The
 * file may change while the process runs. */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#define PORTS 65536

static const volatile uint16_t *ports;

__attribute__((constructor)) static void open_ports(void) {
    const char *path = getenv("NICKELLEAD_REDIRECTS");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *mapped = mmap(NULL, PORTS * sizeof(uint16_t), PROT_READ, MAP_SHARED, file, 0);
    if (mapped != MAP_FAILED)
        ports = mapped;
    close(file);
}

int connect(int socket, const struct sockaddr *address, socklen_t length) {
    struct sockaddr_in changed;
    if (ports && address && address->sa_family == AF_INET && length >= sizeof(changed)) {
        memcpy(&changed, address, sizeof(changed));
        uint16_t port = ports[ntohs(changed.sin_port)];
        if (port != 0) {
            changed.sin_port = htons(port);
            return (int)syscall(SYS_connect, socket, &changed, sizeof(changed));
        }
    }
    return (int)syscall(SYS_connect, socket, address, length);
}
