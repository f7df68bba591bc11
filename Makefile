# Targets: all demo check lint bench install clean soak plots
# Variables: SAN=asan|tsan builds with sanitizers, QUICK=1 shortens bench

SAN ?= plain
BUILD := build/$(SAN)
PREFIX ?= /usr/local
DESTDIR ?=

CC := gcc
CXX := g++
PKGS := libcurl json-c libxxhash libsodium libtirpc ck
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null)

SAN_plain :=
SAN_asan := -fsanitize=address,undefined -fno-sanitize-recover=all
SAN_tsan := -fsanitize=thread
SANFLAGS := $(SAN_$(SAN))

CPPFLAGS += -I. -D_GNU_SOURCE
BASEFLAGS := -O2 -g -fno-omit-frame-pointer $(SANFLAGS) $(PKG_CFLAGS) -pthread
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wvla -Wformat=2
CFLAGS += -std=gnu11 $(BASEFLAGS) $(WARN)
CXXFLAGS += -std=c++17 $(BASEFLAGS) -Wall -Wextra -Werror
LDLIBS += $(PKG_LIBS) -lhttp_parser -lm -pthread
FAKE_LDLIBS := $(LDLIBS) $(shell pkg-config --libs libmicrohttpd 2>/dev/null)
ROUTER_LDLIBS := -lck -lhttp_parser -ljson-c -ltirpc -lsodium -lxxhash -lm -pthread

LIB_SRC := $(wildcard libmedlar/*.c)
DAEMON_SRC := $(filter-out medlard/main.c,$(wildcard medlard/*.c))
PROTO_SRC := $(wildcard proto/*.c)
CTL_SRC := $(wildcard cli/ctl_*.c)
LOAD_SRC := $(wildcard cli/load_*.c)
ROUTE_SRC := $(wildcard libroute/*.c)
ROUTER_SRC := $(filter-out router/main.c,$(wildcard router/*.c)) \
	$(wildcard platform/*.c) proto/gossip_xdr.c \
	medlard/clock.c medlard/h1.c medlard/h1_client.c medlard/h1_server.c \
	medlard/h1_status.c \
	medlard/log.c medlard/loop.c medlard/options.c \
	medlard/settings.c
FAKE_SRC := $(wildcard tests/fakes/common_*.c)
SITE_STORE_SRC := $(wildcard tests/fakes/site_*.c)

obj = $(patsubst %,$(BUILD)/obj/%.o,$(1))
LIB := $(BUILD)/libmedlar.a
ROUTE_LIB := $(BUILD)/libroute.a
ROUTER_LIB := $(BUILD)/libmedlarrouter.a
DAEMON_LIB := $(BUILD)/libmedlard.a

PROGRAMS := $(patsubst %.c,$(BUILD)/%,$(notdir $(wildcard cli/medlarctl.c \
	cli/medlarload.c))) $(BUILD)/medlard $(BUILD)/medlarrouter
FAKES := $(patsubst tests/fakes/%.c,$(BUILD)/%,$(wildcard \
	tests/fakes/fake-*.c))
ROUTER_TESTS := $(patsubst %,$(BUILD)/tests/%,test_routes test_records \
	test_retry_budget test_pause test_crash test_fleet test_exchange \
	test_answer_time test_retry_after test_watchers test_rotation test_hash_index test_observer test_throttle test_limit test_entry_points test_admission test_peers test_mirror test_h1 test_h1_client test_h1_endless test_log_batch test_platform \
	test_router_settings test_store test_availability test_removal test_uptime test_trials test_store_epoch)
TESTS := $(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/test_*.c)) \
	$(patsubst tests/%.cc,$(BUILD)/tests/%,$(wildcard tests/prop_*.cc))
SOAK := $(BUILD)/tests/soak_proxy
BENCHES := $(patsubst bench/%.c,$(BUILD)/bench/%,$(wildcard bench/bench_*.c))

.PHONY: all demo check lint bench capacity install clean soak plots \
	build-tests
.SECONDARY:
all: $(PROGRAMS) $(FAKES)
build-tests: all $(TESTS) $(BENCHES) $(SOAK)

$(LIB): $(call obj,$(LIB_SRC))
	@rm -f $@
	ar rcs $@ $^

$(DAEMON_LIB): $(call obj,$(DAEMON_SRC) $(PROTO_SRC))
	@rm -f $@
	ar rcs $@ $^

$(ROUTE_LIB): $(call obj,$(ROUTE_SRC))
	@rm -f $@
	ar rcs $@ $^

$(ROUTER_LIB): $(call obj,$(ROUTER_SRC))
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/medlarrouter: $(call obj,router/main.c) $(ROUTER_LIB) $(ROUTE_LIB) $(LIB)
	$(CC) $(SANFLAGS) -o $@ $^ $(ROUTER_LDLIBS)

$(BUILD)/medlard: $(call obj,medlard/main.c) $(DAEMON_LIB) $(LIB)
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/medlarctl: $(call obj,cli/medlarctl.c $(CTL_SRC)) $(LIB)
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/medlarload: $(call obj,cli/medlarload.c $(LOAD_SRC)) $(ROUTER_LIB) \
		$(ROUTE_LIB) $(LIB)
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/fake-site: $(call obj,tests/fakes/fake-site.c $(SITE_STORE_SRC)) \
		$(ROUTER_LIB) $(LIB)
	$(CC) $(SANFLAGS) -o $@ $^ $(ROUTER_LDLIBS)

$(BUILD)/fake-%: $(BUILD)/obj/tests/fakes/fake-%.c.o $(call obj,$(FAKE_SRC)) $(LIB)
	$(CC) $(SANFLAGS) -o $@ $^ $(FAKE_LDLIBS)

$(SOAK): $(BUILD)/tests/%: $(BUILD)/obj/tests/%.c.o $(ROUTER_LIB) \
		$(ROUTE_LIB) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SANFLAGS) -o $@ $^ $(ROUTER_LDLIBS)

$(BUILD)/tests/test_removal $(BUILD)/tests/test_trials \
	$(BUILD)/tests/test_store_epoch: \
	$(call obj,$(SITE_STORE_SRC))

$(ROUTER_TESTS): $(BUILD)/tests/%: $(BUILD)/obj/tests/%.c.o $(ROUTER_LIB) \
		$(ROUTE_LIB) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SANFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) \
		$(ROUTER_LDLIBS) -lcmocka

$(BUILD)/tests/test_%: $(BUILD)/obj/tests/test_%.c.o $(DAEMON_LIB) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS) -lcmocka

$(BUILD)/tests/prop_%: $(BUILD)/obj/tests/prop_%.cc.o $(DAEMON_LIB) $(LIB)
	@mkdir -p $(@D)
	$(CXX) $(SANFLAGS) -o $@ $^ $(LDLIBS) -lrapidcheck

$(BUILD)/bench/capacity: $(BUILD)/obj/bench/capacity.c.o
	@mkdir -p $(@D)
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/bench/bench_%: $(BUILD)/obj/bench/bench_%.c.o $(DAEMON_LIB) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)

# Generated code is compiled without the warnings of our own.
$(BUILD)/obj/proto/%.c.o: proto/%.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) -std=gnu11 $(BASEFLAGS) -w -MMD -MP -c -o $@ $<

$(BUILD)/obj/%.c.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/obj/%.cc.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c -o $@ $<

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

demo:
	scripts/setup
	$(MAKE) all
	scripts/demo $(BUILD) $(or $(DEPLOYMENT),kraisorn)

check: build-tests
	tests/run $(BUILD)

lint:
	scripts/lint

bench: build-tests
	bench/run $(BUILD) $(if $(QUICK),--quick)

# Computes the figures of docs/CAPACITY.md from the last run of make bench.
capacity: $(BUILD)/bench/capacity
	scripts/capacity $(BUILD) build/bench.json docs/CAPACITY.md

# usage: make soak [SEED=number] [MINUTES=number] [ROUTERS=number]
SEED ?= 1
MINUTES ?= 1
ROUTERS ?= 3
soak: build-tests
	tests/soak_router $(BUILD) $$(($(MINUTES) * 60)) $(SEED) 24000 $(ROUTERS)
	tests/soak $(BUILD) $$(($(MINUTES) * 60)) $(SEED)

plots:
	scripts/plots build/bench.json docs/plots

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/sbin
	install -d $(DESTDIR)$(PREFIX)/share/man/man1
	install -d $(DESTDIR)$(PREFIX)/share/man/man5
	install -d $(DESTDIR)$(PREFIX)/share/man/man8
	install -m 755 $(BUILD)/medlard $(BUILD)/medlarrouter \
		$(DESTDIR)$(PREFIX)/sbin
	install -m 755 $(BUILD)/medlarctl $(BUILD)/medlarload \
		$(DESTDIR)$(PREFIX)/bin
	install -m 644 man/*.1 $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 man/*.5 $(DESTDIR)$(PREFIX)/share/man/man5
	install -m 644 man/*.8 $(DESTDIR)$(PREFIX)/share/man/man8

clean:
	rm -rf build
