#include "gateway/admission.h"

#include <doctest/doctest.h>

#include <thread>

namespace lentilhead::gateway {
namespace {

namespace asio = net::asio;
using std::chrono::milliseconds;

/// Two endpoints of a service, one of them full, and requests that wait for slots there.
class AdmissionFixture {
 public:
  AdmissionFixture() {
    for (const char* id : {"free", "full"}) {
      EndpointEntry entry;
      entry.id = id;
      entry.service = "svc";
      entry.slots = 1;
      this->registry.Put(entry);
    }
    this->registry.All().at("full")->own_online = 2;
  }

  void Request(std::vector<std::string> excluded, AdmissionOutcome& outcome) {
    asio::co_spawn(this->loop, this->Acquire(std::move(excluded), outcome), asio::detached);
  }

  asio::awaitable<void> Acquire(std::vector<std::string> excluded, AdmissionOutcome& outcome) {
    ChoiceRequest request{"svc", std::move(excluded), WorkClass::kOnline};
    request.has_begun = this->has_begun;
    WaitTerms terms;
    terms.until = net::Now() + milliseconds(200);
    outcome = co_await this->admission.Acquire(std::move(request), terms, this->cancel);
  }

  /// Waits at most 20 ms for a slot, as a request of a customer.
  asio::awaitable<void> AcquireFor(std::uint32_t customer, AdmissionOutcome& outcome) {
    ChoiceRequest request{"svc", {}, WorkClass::kOnline};
    WaitTerms terms;
    terms.until = net::Now() + milliseconds(20);
    terms.customer = customer;
    terms.objectives =
        WaitObjectives{net::Now(), milliseconds(100), net::Now() + milliseconds(2000)};
    outcome = co_await this->admission.Acquire(std::move(request), terms, this->cancel);
  }

  asio::io_context loop{1};
  EndpointRegistry registry{"a"};
  Admission admission{loop.get_executor(), registry};
  CancelScope cancel;
  bool has_begun = false;  ///< of the requests
};

TEST_CASE("a request that limits allow too late is refused at once, with the time until then") {
  AdmissionFixture fixture;
  for (const char* id : {"free", "full"}) {
    fixture.registry.Limits().RecordAnswer(fixture.registry.All().at(id)->incarnation,
                                           LimitNamed{0.5}, net::Now(), net::Now());
  }
  AdmissionOutcome refused;
  fixture.Request({}, refused);
  fixture.loop.run_for(milliseconds(10));
  CHECK(fixture.loop.stopped());
  CHECK_FALSE(refused.lease);
  REQUIRE(refused.permit_wait);
  CHECK(refused.permit_wait->count() == doctest::Approx(1000).epsilon(0.01));
}

TEST_CASE("a request that has begun waits to its end though limits allow it too late") {
  AdmissionFixture fixture;
  fixture.has_begun = true;
  for (const char* id : {"free", "full"}) {
    fixture.registry.Limits().RecordAnswer(fixture.registry.All().at(id)->incarnation,
                                           LimitNamed{0.5}, net::Now(), net::Now());
  }
  AdmissionOutcome waiting;
  fixture.Request({}, waiting);
  fixture.loop.run_for(milliseconds(50));
  CHECK_FALSE(fixture.loop.stopped());
  CHECK_FALSE(waiting.permit_wait);
}

TEST_CASE("a request that limits allow soon waits for it") {
  AdmissionFixture fixture;
  for (const char* id : {"free", "full"}) {
    fixture.registry.Limits().RecordAnswer(fixture.registry.All().at(id)->incarnation,
                                           LimitNamed{20}, net::Now(), net::Now());
  }
  AdmissionOutcome served;
  fixture.Request({}, served);
  fixture.loop.run_for(milliseconds(10));
  CHECK_FALSE(served.lease);
  fixture.loop.restart();
  fixture.loop.run_for(milliseconds(180));
  REQUIRE(served.lease);
  CHECK(served.lease.Endpoint().entry.id == "free");
}

TEST_CASE("a request that waits for another endpoint does not keep others from a free slot") {
  AdmissionFixture fixture;
  AdmissionOutcome waiting;
  AdmissionOutcome next;
  fixture.Request({"free"}, waiting);
  fixture.loop.run_for(milliseconds(10));
  fixture.Request({}, next);
  fixture.loop.restart();
  fixture.loop.run_for(milliseconds(10));
  REQUIRE(next.lease);
  CHECK(next.lease.Endpoint().entry.id == "free");
  CHECK_FALSE(waiting.lease);
  fixture.loop.restart();
  fixture.loop.run();
}

TEST_CASE("a slot that becomes free goes past a request that may not use it") {
  AdmissionFixture fixture;
  fixture.registry.All().at("free")->own_online = 2;
  AdmissionOutcome waiting;
  AdmissionOutcome next;
  fixture.Request({"free"}, waiting);
  fixture.Request({}, next);
  fixture.loop.run_for(milliseconds(10));
  fixture.registry.All().at("free")->own_online = 0;
  fixture.admission.Dispatch();
  fixture.loop.restart();
  fixture.loop.run_for(milliseconds(10));
  REQUIRE(next.lease);
  CHECK_FALSE(waiting.lease);
  fixture.loop.restart();
  fixture.loop.run();
}

/// A request at endpoints with a memory of 1,000 tokens.
class MemoryFixture : public AdmissionFixture {
 public:
  MemoryFixture() {
    EndpointState& free = *this->registry.All().at("free");
    free.entry.slots = 4;
    this->registry.RecordLoad(free, ReportedLoad{0, 0, 4, 1.0}, net::Now());
  }

  static ChoiceRequest RequestOf(double tokens) {
    ChoiceRequest request{"svc", {}, WorkClass::kOnline};
    request.endpoint_memory = 1000;
    request.cost.memory_tokens = tokens;
    return request;
  }

  asio::awaitable<void> AcquireMemory(double tokens, AdmissionOutcome& outcome) {
    WaitTerms terms;
    terms.until = net::Now() + milliseconds(200);
    outcome = co_await this->admission.Acquire(RequestOf(tokens), terms, this->cancel);
  }

  void Start(double tokens, AdmissionOutcome& outcome) {
    asio::co_spawn(this->loop, this->AcquireMemory(tokens, outcome), asio::detached);
    this->loop.restart();
    this->loop.run_for(milliseconds(10));
  }
};

// Guards against one large request that keeps all others of its service waiting.
TEST_CASE("a request that waits for memory does not keep a smaller one from a free slot") {
  MemoryFixture fixture;
  AdmissionOutcome running;
  AdmissionOutcome large;
  AdmissionOutcome small;
  fixture.Start(300, running);
  REQUIRE(running.lease);
  fixture.Start(800, large);
  CHECK_FALSE(large.lease);
  fixture.Start(300, small);
  CHECK(small.lease);
  running.lease.Release();
  small.lease.Release();
  fixture.admission.Dispatch();
  fixture.loop.restart();
  fixture.loop.run_for(milliseconds(10));
  CHECK(large.lease);
}

// Guards against a queue that stands still behind a request that waits for memory.
TEST_CASE("memory that becomes free goes to the requests that it suffices for") {
  MemoryFixture fixture;
  AdmissionOutcome running;
  AdmissionOutcome large;
  AdmissionOutcome medium;
  AdmissionOutcome small;
  fixture.Start(800, running);
  REQUIRE(running.lease);
  fixture.Start(900, large);
  fixture.Start(500, medium);
  fixture.Start(50, small);
  CHECK(small.lease);
  CHECK_FALSE(medium.lease);
  running.lease.Release();
  fixture.admission.Dispatch();
  fixture.loop.restart();
  fixture.loop.run_for(milliseconds(10));
  CHECK(large.lease);
  CHECK_FALSE(medium.lease);
  large.lease.Release();
  fixture.admission.Dispatch();
  fixture.loop.restart();
  fixture.loop.run_for(milliseconds(10));
  CHECK(medium.lease);
}

// Guards against a request that waits to the end of its time though no endpoint can run it.
TEST_CASE("a request that is larger than the memory of an endpoint is refused at once") {
  MemoryFixture fixture;
  AdmissionOutcome refused;
  fixture.Start(1001, refused);
  CHECK(fixture.loop.stopped());
  CHECK(refused.reason == NoChoice::kTooLarge);
}

// Runs as a test of its own, since it fails at times (KNOWN-RED.txt).
TEST_CASE("a customer at its share leaves the free slot to another one, and gives back its slots" *
          doctest::skip()) {
  AdmissionFixture fixture;
  fixture.registry.All().at("full")->own_online = 0;
  EndpointEntry large;
  large.id = "full";
  large.service = "svc";
  large.slots = 9;
  fixture.registry.Put(large);
  const auto acquire = [&](std::uint32_t customer, AdmissionOutcome& outcome) {
    asio::co_spawn(fixture.loop, fixture.AcquireFor(customer, outcome), asio::detached);
    fixture.loop.restart();
    fixture.loop.run();
  };
  std::vector<AdmissionOutcome> first(11);
  for (AdmissionOutcome& outcome : first) {
    acquire(7, outcome);
  }
  const auto started = std::count_if(first.begin(), first.end(), [](const AdmissionOutcome& one) {
    return static_cast<bool>(one.lease);
  });
  CHECK(started >= 9);
  CHECK(started <= 10);
  CHECK_FALSE(first.back().lease);
  AdmissionOutcome other;
  if (started == 10) {
    // The slots were taken in a burst: in an endpoint's queue the request would be late.
    acquire(8, other);
    CHECK_FALSE(other.lease);
  }
  std::this_thread::sleep_for(milliseconds(400));  // more than half of the usual hold time
  acquire(8, other);
  CHECK(other.lease);
  CHECK(fixture.admission.Shares().OwnUse(HashKey("svc")) == started + 1);
  first.clear();
  other = {};
  CHECK(fixture.admission.Shares().OwnUse(HashKey("svc")) == 0);
}

}  // namespace
}  // namespace lentilhead::gateway
