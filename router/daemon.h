/**
 * DOC: entry points of the router process
 */
#ifndef ROUTER_DAEMON_H
#define ROUTER_DAEMON_H

int daemon_run(const char *path);
int daemon_check(const char *path);

#endif /* ROUTER_DAEMON_H */
