# Wrapper for CMake. `make demo` and `make check` require only make, a shell and
# apt (Debian 12).
BUILD := build
CHECK := build-check
PACKAGES := build-essential cmake ninja-build pkg-config clang clang-format \
  clang-tidy cppcheck libclang-rt-14-dev libtalloc-dev libtevent-dev \
  libargtable2-dev libcmocka-dev liblwip-dev libmicrohttpd-dev \
  libcurl4-gnutls-dev libjansson-dev libconfig-dev libxxhash-dev libgsl-dev \
  liburcu-dev libsodium-dev libtirpc-dev libevent-dev uthash-dev rpcsvc-proto spin jq curl openssl
SECONDS ?= 60
JOBS ?= 1
NODES ?= 5
SOURCES = $(shell git ls-files 'src/*.[ch]' 'include/*.h' 'tests/*.[ch]' \
  'fuzz/*.[ch]' 'bench/*.[ch]' 'platform/*.[ch]' | grep -vE 'jt_(director_)?proto')

.PHONY: all packages build demo check bench fuzz soak format lint proto clean

all: build

# Installs the missing packages.
packages:
	@missing=$$(for p in $(PACKAGES); do dpkg -s $$p >/dev/null 2>&1 || \
	  echo $$p; done); \
	if [ -n "$$missing" ]; then apt-get update -qq && \
	  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
	  --no-install-recommends $$missing; fi

build: packages
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD)

demo: build
	BUILD=$(BUILD) scripts/demo.sh

check: packages
	scripts/check.sh $(CHECK)

bench: build
	scripts/bench.sh $(BUILD)

# Runs random seeds with real processes for SECONDS, then the regression seeds:
# JOBS parallel runs of NODES processes each.
soak: build
	scripts/soak.sh $(BUILD) $(SECONDS) $(JOBS) $(NODES)

fuzz: packages
	scripts/fuzz.sh $(SECONDS)

format:
	clang-format -i $(SOURCES)

lint: packages
	scripts/lint.sh

proto:
	cd src/proto && for name in jt_proto jt_director_proto; do \
	  rm -f $$name.h $${name}_xdr.c && \
	  rpcgen -h -o $$name.h $$name.x && \
	  rpcgen -c -o $${name}_xdr.c $$name.x || exit 1; done

clean:
	rm -rf build build-*
