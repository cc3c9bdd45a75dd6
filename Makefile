# pistachiospur's build. `make help` lists the targets.
CXX ?= g++
CXXFLAGS ?= -O2 -g1
BUILD ?= build
JOBS ?= $(shell nproc)
FLAGS := -std=c++17 -Wall -Wextra -Werror -MMD -MP -Iinclude -Isrc -I. -DBOOST_TEST_DYN_LINK
LIBS := -lev -lcurl -lprometheus-cpp-core -llog4cplus -lxxhash $(shell pkg-config --libs absl_flags absl_flags_parse absl_flags_usage absl_strings)
PACKAGES := g++ make pkg-config clang-format clang-tidy libev-dev libwebsocketpp-dev prometheus-cpp-dev \
	libcurl4-openssl-dev libabsl-dev liblog4cplus-dev libboost1.81-dev libboost-test1.81-dev \
	nlohmann-json3-dev librapidcheck-dev libxxhash-dev spin curl

LIB_SOURCES := $(filter-out src/daemon/main.cpp src/cli/%,$(wildcard src/*/*.cpp)) $(wildcard platform/*.cpp)
CLI_SOURCES := $(wildcard src/cli/*.cpp)
STANDIN_SOURCES := $(wildcard standins/*.cpp)
SITE_TEST := tests/site_test.cpp
CROWD_TEST := tests/crowd_test.cpp
TEST_SOURCES := $(filter-out $(SITE_TEST) $(CROWD_TEST),$(wildcard tests/*.cpp))
BENCH_SOURCES := $(wildcard bench/*.cpp)
ALL_SOURCES := $(LIB_SOURCES) src/daemon/main.cpp $(CLI_SOURCES) $(STANDIN_SOURCES) $(TEST_SOURCES) $(SITE_TEST) $(CROWD_TEST) $(BENCH_SOURCES)
ALL_HEADERS := $(wildcard include/*/*.h src/*/*.h platform/*.h standins/*.h tests/*.h bench/*.h)
object = $(patsubst %.cpp,$(BUILD)/%.o,$(1))

STANDINS := $(BUILD)/standin-store $(BUILD)/standin-hosts $(BUILD)/standin-upstream
PROGRAMS := $(BUILD)/pistachiospurd $(BUILD)/pistachiospur

.PHONY: help compile build daemon install demo check test models format lint capacity measure site crowds clean
.DEFAULT_GOAL := help

help: ## list the targets
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | sed 's/:.*## /\t/' | expand -t 14

install: ## install missing Debian packages (needs root)
	@missing=""; for it in $(PACKAGES); do dpkg -s $$it >/dev/null 2>&1 || missing="$$missing $$it"; done; \
	if [ -n "$$missing" ]; then apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $$missing; fi

daemon: $(BUILD)/pistachiospurd

build: $(PROGRAMS) $(STANDINS) ## build the daemon, the command-line tool and the stand-ins

$(BUILD)/%.o: %.cpp
	@mkdir -p $(@D)
	$(CXX) $(FLAGS) $(CXXFLAGS) -c $< -o $@

$(BUILD)/libpistachiospur.a: $(call object,$(LIB_SOURCES))
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/pistachiospurd: $(call object,src/daemon/main.cpp) $(BUILD)/libpistachiospur.a
	$(CXX) $^ $(LIBS) -o $@

$(BUILD)/pistachiospur: $(call object,$(CLI_SOURCES)) $(BUILD)/libpistachiospur.a
	$(CXX) $^ $(LIBS) -o $@

$(STANDINS): $(BUILD)/standin-%: $(BUILD)/standins/%.o $(BUILD)/libpistachiospur.a
	$(CXX) $^ $(LIBS) -o $@

$(BUILD)/unit-tests: $(call object,$(TEST_SOURCES) standins/kv.cpp standins/raw_upstream.cpp) $(BUILD)/libpistachiospur.a
	$(CXX) $^ $(LIBS) -lboost_unit_test_framework -lrapidcheck -o $@

$(BUILD)/site-tests: $(call object,$(SITE_TEST) standins/site.cpp) $(BUILD)/libpistachiospur.a
	$(CXX) $^ $(LIBS) -lboost_unit_test_framework -o $@

$(BUILD)/crowd-tests: $(call object,$(CROWD_TEST) standins/site.cpp standins/kv.cpp standins/raw_upstream.cpp) $(BUILD)/libpistachiospur.a
	$(CXX) $^ $(LIBS) -lboost_unit_test_framework -o $@

$(BUILD)/capacity: $(call object,bench/capacity.cpp) $(BUILD)/libpistachiospur.a
	$(CXX) $^ $(LIBS) -o $@

$(BUILD)/demo: $(BUILD)/standins/demo.o $(BUILD)/standins/site.o $(BUILD)/libpistachiospur.a
	$(CXX) $^ $(LIBS) -o $@

# Builds all programs and tests with JOBS parallel jobs, even if make was started without -j.
compile:
	$(MAKE) --no-print-directory -j$(JOBS) $(PROGRAMS) $(STANDINS) $(BUILD)/demo $(BUILD)/unit-tests \
		$(BUILD)/site-tests $(BUILD)/crowd-tests $(BUILD)/capacity $(BUILD)/site-bench

demo: install compile ## install missing packages, build, and run a demonstration site on loopback
	timeout 120 $(BUILD)/demo $(BUILD)

FORMATTED := $(ALL_SOURCES) $(ALL_HEADERS)

format: ## format the sources with clang-format
	clang-format -i $(FORMATTED)

lint: ## check the format and run clang-tidy; changes no file
	clang-format --dry-run -Werror $(FORMATTED)
	@printf '%s\n' $(ALL_SOURCES) | xargs -P 8 -n 1 sh -c 'clang-tidy --quiet $$0 -- $(FLAGS) 2>/dev/null || { echo "lint: $$0"; exit 1; }'

test: $(BUILD)/unit-tests ## unit and property tests
	scripts/unit-tests $(BUILD)/unit-tests

site: build $(BUILD)/site-tests ## end-to-end tests: sites of real processes with injected failures
	scripts/site-tests $(BUILD)

crowds: $(BUILD)/pistachiospurd $(BUILD)/crowd-tests ## crowds of misbehaving callers against a real process, one test at a time
	scripts/crowd-tests $(BUILD)

models: ## check the models, and that variants without a guard fail
	scripts/check-models $(BUILD)/models

capacity: $(BUILD)/capacity ## measure memory and CPU time per unit for docs/CAPACITY.md
	$(BUILD)/capacity

check: compile lint test models site crowds ## compile, lint, test, models, site and crowds, as CI does
	@echo "check passed"

$(BUILD)/site-bench: $(call object,bench/site.cpp standins/site.cpp) $(BUILD)/libpistachiospur.a
	$(CXX) $^ $(LIBS) -o $@

measure: build $(BUILD)/site-bench ## measure real processes: an idle host at several numbers of hosts, and a routed request
	$(BUILD)/site-bench

clean: ## remove the build directory
	rm -rf $(BUILD)

-include $(patsubst %.o,%.d,$(call object,$(ALL_SOURCES)))
