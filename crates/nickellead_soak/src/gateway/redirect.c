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
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

static int ports = -1;

__attribute__((constructor)) static void open_ports(void) {
    const char *path = getenv("NICKELLEAD_REDIRECTS");
    if (path)
        ports = open(path, O_RDONLY | O_CLOEXEC);
}

/* The port to connect to instead of this one; 0 for the port itself. */
static uint16_t redirected_port(uint16_t port) {
    uint16_t redirected = 0;
    if (ports < 0 || pread(ports, &redirected, sizeof(redirected), (off_t)port * 2) != 2)
        return 0;
    return redirected;
}

int connect(int socket, const struct sockaddr *address, socklen_t length) {
    struct sockaddr_in changed;
    if (address && address->sa_family == AF_INET && length >= sizeof(changed)) {
        memcpy(&changed, address, sizeof(changed));
        uint16_t port = redirected_port(ntohs(changed.sin_port));
        if (port != 0) {
            changed.sin_port = htons(port);
            return (int)syscall(SYS_connect, socket, &changed, sizeof(changed));
        }
    }
    return (int)syscall(SYS_connect, socket, address, length);
}
