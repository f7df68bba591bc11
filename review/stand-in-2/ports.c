/**
 * DOC: finds free ports, and waits for a listener
 *
 * usage: ports free COUNT
 *	prints the first of COUNT loopback ports in a row that nobody listens at
 * usage: ports wait PORT
 *	waits up to 10 s until a connection to the port is accepted
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Above the ports of the project's tests, below those that the system hands out. */
#define PORT_MIN 30000
#define PORT_SPAN 2500
#define TRIES 200

static struct sockaddr_in loopback(unsigned port)
{
	return (struct sockaddr_in){ .sin_family = AF_INET,
				     .sin_addr = { htonl(INADDR_LOOPBACK) },
				     .sin_port = htons((uint16_t)port) };
}

static int is_free(unsigned port)
{
	struct sockaddr_in address = loopback(port);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int ok;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ok = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
	close(fd);
	return ok;
}

static int find_free(unsigned count)
{
	unsigned seed = (unsigned)getpid() * 7919u + (unsigned)time(NULL);

	for (int i = 0; i < TRIES; i++) {
		unsigned first = PORT_MIN + (seed + (unsigned)i * 97u) %
						    PORT_SPAN;
		unsigned free_count = 0;

		while (free_count < count && is_free(first + free_count))
			free_count++;
		if (free_count == count) {
			printf("%u\n", first);
			return 0;
		}
	}
	return 2;
}

static int wait_for(unsigned port)
{
	struct sockaddr_in address = loopback(port);

	for (int i = 0; i < 1000; i++) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int ok = connect(fd, (struct sockaddr *)&address,
				 sizeof(address)) == 0;

		close(fd);
		if (ok)
			return 0;
		usleep(10000);
	}
	return 2;
}

int main(int argc, char **argv)
{
	if (argc != 3)
		return 2;
	return strcmp(argv[1], "free") == 0 ?
		       find_free((unsigned)atoi(argv[2])) :
		       wait_for((unsigned)atoi(argv[2]));
}
