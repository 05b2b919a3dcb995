#include "batch/tests/batch_fleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "framework/hash.h"

namespace lentilhead::batch {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kMaxStatusReads = 2'000;

BatchSettings FastSettings() {
  BatchSettings settings;
  settings.shards = 4;
  settings.policy_weight = 1;
  settings.lease_lifetime = milliseconds(600);
  settings.grant_lifetime = milliseconds(200);
  settings.scan_period = milliseconds(50);
  settings.load_period = milliseconds(10);
  settings.commit_period = milliseconds(50);
  return settings;
}

}  // namespace

struct BatchFleet::Instance {
  Instance(BatchFleet& fleet, std::string name)
      : name(std::move(name)),
        http(*fleet.platform.timers),
        rpc(http),
        server(framework::HttpServerSettings{.max_body_size = 256 << 20}, router, metrics),
        table(fleet.platform.settings, http, metrics),
        objects(fleet.platform.settings, http, metrics),
        list(fleet.platform.settings, http),
        budget(1e6),
        writer(this->name + framework::RandomId(), table, budget, *fleet.platform.timers, metrics),
        directory(fleet.services, this->name, "z", list, http, *fleet.platform.timers, metrics),
        module(std::make_unique<BatchModule>(BatchModule::Parts{
            fleet.settings, fleet.services, this->name, framework::RandomId(), table, objects,
            writer, directory, http, rpc, *fleet.platform.timers, metrics})),
        api(fleet.settings, fleet.services, table, objects, writer, *fleet.platform.timers,
            metrics) {
    this->module->RegisterProcedures(this->procedures);
    this->procedures.Register(this->router, "/rpc");
    this->api.RegisterRoutes(this->router,
                             [](const auto& exchange) { return exchange->Header("X-Caller"); });
    const framework::Result<std::uint16_t> port = this->server.Listen();
    this->address = "127.0.0.1:" + std::to_string(port ? port.value() : 0);
    this->directory.Start();
    this->module->Start();
  }

  std::string name;
  std::string address;
  framework::Metrics metrics;
  framework::HttpClient http;
  framework::JsonRpcClient rpc;
  framework::JsonRpcServer procedures;
  framework::HttpRouter router;
  framework::HttpServer server;
  datastore::TableClient table;
  datastore::ObjectStoreClient objects;
  datastore::InstanceListClient list;
  datastore::WriteBudget budget;
  datastore::ResolvedWriter writer;
  endpoint::EndpointDirectory directory;
  std::unique_ptr<BatchModule> module;
  JobApi api;
  bool alive = true;
};

BatchFleet::BatchFleet(int instance_count, int engine_count, milliseconds answer_time, int slots)
    : settings(FastSettings()) {
  this->services.services.push_back({.name = "profiles", .slots = slots});
  this->services.list_period = milliseconds(50);
  this->services.report_period = milliseconds(50);
  for (int index = 0; index < engine_count; ++index) {
    this->engines.push_back(
        std::make_unique<StubEngine>(*this->platform.timers, slots, answer_time));
    this->platform.server.ChangeList(
        "profiles", {"engine" + std::to_string(index), this->engines.back()->Address(), "z"});
  }
  for (int index = 0; index < instance_count; ++index) {
    this->instances.push_back(
        std::make_unique<Instance>(*this, "instance" + std::to_string(index)));
  }
  this->view_tick = this->platform.timers->Every(milliseconds(20), [this] { UpdateViews(); });
}

BatchFleet::~BatchFleet() = default;

BatchModule& BatchFleet::Module(std::size_t instance) { return *this->instances[instance]->module; }

void BatchFleet::UpdateViews() {
  fleet::FleetView view;
  for (const auto& instance : this->instances) {
    if (instance->alive) {
      fleet::FleetInstance member;
      member.name = instance->name;
      member.batch_address = instance->address;
      view.instances.push_back(std::move(member));
    }
  }
  for (const auto& instance : this->instances) {
    if (instance->alive) {
      view.self = instance->name;
      instance->module->OnView(view, this->platform.timers->Now());
    }
  }
}

framework::HttpResponse BatchFleet::Call(std::size_t instance, const std::string& method,
                                         const std::string& path, const std::string& body,
                                         const std::string& key, const std::string& caller) {
  framework::HttpRequest request;
  request.method = method;
  request.url = "http://" + this->instances[instance]->address + path;
  request.headers = {{"X-Caller", caller}};
  if (!key.empty()) {
    request.headers.emplace_back("Idempotency-Key", key);
  }
  request.body = body;
  request.content_type = body.empty() ? "" : "application/jsonl";
  request.timeout = std::chrono::seconds(60);
  std::optional<framework::HttpResponse> response;
  bool failed = false;
  const framework::HttpCall call = this->platform.http.Send(std::move(request), [&](auto reply) {
    failed = !reply.HasValue();
    if (reply) {
      response = reply.Value();
    }
  });
  standin::PlatformFixture::RunUntil([&] { return failed || response.has_value(); });
  return response.value_or(framework::HttpResponse{});
}

std::string BatchFleet::Lines(std::size_t items) {
  std::string lines;
  for (std::size_t index = 0; index < items; ++index) {
    const json body = {
        {"model", "m"},
        {"messages", {{{"role", "user"}, {"content", "text" + std::to_string(index)}}}}};
    const json line = {{"custom_id", std::to_string(index)},
                       {"method", "POST"},
                       {"url", "/v1/chat/completions"},
                       {"body", body}};
    lines += line.dump() + "\n";
  }
  return lines;
}

std::string BatchFleet::Submit(std::size_t instance, std::size_t items, const std::string& key) {
  const framework::HttpResponse response =
      this->Call(instance, "POST", "/v1/jobs?service=profiles", Lines(items), key);
  return json::parse(response.body, nullptr, false).value("id", "");
}

bool BatchFleet::RunUntilState(const std::string& job, const std::string& state,
                               std::size_t instance) {
  for (int read = 0; read < kMaxStatusReads; ++read) {
    const json status =
        json::parse(this->Call(instance, "GET", "/v1/jobs/" + job).body, nullptr, false);
    if (status.is_object() && status.value("state", "") == state) {
      return true;
    }
    bool waited = false;
    const auto timer = this->platform.timers->After(milliseconds(20), [&] { waited = true; });
    standin::PlatformFixture::RunUntil([&] { return waited; });
  }
  return false;
}

std::vector<std::string> BatchFleet::ResultIds(std::size_t instance, const std::string& job) {
  const std::string body = this->Call(instance, "GET", "/v1/jobs/" + job + "/results").body;
  std::vector<std::string> ids;
  std::size_t start = 0;
  while (start < body.size()) {
    const std::size_t end = body.find('\n', start);
    ids.push_back(json::parse(body.substr(start, end - start)).at("custom_id"));
    start = end + 1;
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

std::uint64_t BatchFleet::JobWrites() {
  std::uint64_t writes = 0;
  for (const auto& instance : this->instances) {
    writes += instance->metrics.GetCounter("batch_job_writes_total").Value();
  }
  return writes;
}

void BatchFleet::Kill(std::size_t index) {
  Instance& instance = *this->instances[index];
  instance.alive = false;
  instance.server.StopListening();
  instance.module->Stop();
}

}  // namespace lentilhead::batch
