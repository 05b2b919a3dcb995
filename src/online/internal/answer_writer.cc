#include "online/internal/answer_writer.h"

#include "framework/http_error.h"

namespace lentilhead::online::internal {

namespace {

constexpr int kOk = 200;
constexpr const char* kContentType = "content-type";
constexpr const char* kDefaultContentType = "application/octet-stream";

struct Visitor {
  framework::HttpExchange& exchange;
  const std::string& service;
  OnlineMetrics& metrics;

  void operator()(const StartStream& /*start*/) const {
    this->exchange.SetHeader("Cache-Control", "no-cache");
    this->exchange.StartStream(kOk, "text/event-stream");
  }
  void operator()(const ForwardEvents& forward) const { this->exchange.WriteChunk(forward.events); }
  void operator()(const FinishStream& /*finish*/) const {
    this->metrics.CountCompleted(this->service);
    this->exchange.FinishStream();
  }
  void operator()(const FailStream& fail) const {
    this->metrics.CountFailedStream(fail.refusal);
    this->exchange.WriteChunk("data: " + framework::RenderHttpError(ToHttpError(fail.refusal)) +
                              "\n\n");
    this->exchange.FinishStream();
  }
  void operator()(const WholeAnswer& answer) const {
    this->metrics.CountCompleted(this->service);
    WriteWholeAnswer(this->exchange, answer);
  }
  void operator()(const Refuse& refuse) const {
    WriteRefusal(this->exchange, refuse.refusal, this->metrics);
  }
  template <class Other>
  void operator()(const Other& /*other*/) const {}
};

}  // namespace

void WriteRefusal(framework::HttpExchange& exchange, const Refusal& refusal,
                  OnlineMetrics& metrics) {
  metrics.CountRefusal(refusal);
  framework::RespondError(exchange, ToHttpError(refusal));
}

void WriteWholeAnswer(framework::HttpExchange& exchange, const WholeAnswer& answer) {
  exchange.SetHeader("X-Outcome", NameOf(Outcome::kCompleted));
  std::string content_type = kDefaultContentType;
  for (const auto& [name, value] : answer.headers) {
    if (name == kContentType) {
      content_type = value;
      continue;
    }
    exchange.SetHeader(name.c_str(), value);
  }
  exchange.Respond(answer.status, content_type.c_str(), answer.body);
}

void WriteEffect(framework::HttpExchange& exchange, const AttemptEffect& effect,
                 const std::string& service, OnlineMetrics& metrics) {
  std::visit(Visitor{exchange, service, metrics}, effect);
}

}  // namespace lentilhead::online::internal
