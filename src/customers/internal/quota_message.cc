#include "customers/types/quota_message.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace lentilhead::customers {

namespace {

using nlohmann::json;

constexpr int kRequestKind = 1;
constexpr int kReplyKind = 2;
constexpr std::size_t kHeadFields = 4;
constexpr std::size_t kAskFields = 5;
constexpr std::size_t kAnswerFields = 7;
constexpr unsigned kFirstFlag = 1;
constexpr unsigned kSecondFlag = 2;
constexpr unsigned kThirdFlag = 4;
constexpr unsigned kFlagBits = 3;  // the number of recent requests follows, which may be missing
constexpr unsigned kMaxRecent = 1U << 24U;
constexpr double kShareUnit = 0.001;
constexpr double kDemandUnit = 0.1;  // requests per second

unsigned Flags(bool first, bool second, bool third = false) {
  return (first ? kFirstFlag : 0U) | (second ? kSecondFlag : 0U) | (third ? kThirdFlag : 0U);
}

/// Returns a duration of at least 0.
std::chrono::milliseconds DecodeSpan(const json& field) {
  return std::chrono::milliseconds(std::max<std::int64_t>(0, field.get<std::int64_t>()));
}

std::string ToDatagram(const json& fields) {
  const std::vector<std::uint8_t> bytes = json::to_msgpack(fields);
  return {bytes.begin(), bytes.end()};
}

/// Tells whether fields are a message: its kind and head, and then entries of some fields each.
bool IsMessage(const json& fields, int kind, std::size_t entry_fields) {
  return fields.is_array() && fields.size() >= kHeadFields && fields[0] == kind &&
         (fields.size() - kHeadFields) % entry_fields == 0;
}

}  // namespace

std::string Encode(const QuotaRequest& request) {
  json fields = {kRequestKind, request.node, request.start, request.sequence};
  for (const QuotaAsk& ask : request.asks) {
    fields.push_back(ask.customer);
    fields.push_back(ask.used);
    fields.push_back(ask.wanted);
    fields.push_back(ask.held);
    fields.push_back(Flags(ask.is_free, ask.is_late, ask.wants_answer) |
                     static_cast<unsigned>(ask.recent) << kFlagBits);
  }
  return ToDatagram(fields);
}

std::string Encode(const QuotaReply& reply) {
  json fields = {kReplyKind, reply.node, reply.start, reply.sequence};
  for (const QuotaAnswer& answer : reply.answers) {
    fields.push_back(answer.customer);
    fields.push_back(answer.granted);
    fields.push_back(Flags(answer.must_ask, answer.is_young));
    fields.push_back(answer.retry_after.count());
    fields.push_back(answer.hold.count());
    fields.push_back(std::llround(answer.share / kShareUnit));
    fields.push_back(std::llround(answer.demand / kDemandUnit));
  }
  return ToDatagram(fields);
}

bool Decode(const std::string& bytes, QuotaRequest& request) {
  const json fields = json::from_msgpack(bytes, true, false);
  if (!IsMessage(fields, kRequestKind, kAskFields)) {
    return false;
  }
  try {
    fields[1].get_to(request.node);
    fields[2].get_to(request.start);
    fields[3].get_to(request.sequence);
    request.asks.clear();
    for (std::size_t index = kHeadFields; index < fields.size(); index += kAskFields) {
      QuotaAsk ask;
      fields[index].get_to(ask.customer);
      fields[index + 1].get_to(ask.used);
      ask.wanted = std::max(0, fields[index + 2].get<int>());
      ask.held = std::max(0, fields[index + 3].get<int>());
      const auto flags = fields[index + 4].get<unsigned>();
      ask.is_free = (flags & kFirstFlag) != 0;
      ask.is_late = (flags & kSecondFlag) != 0;
      ask.wants_answer = (flags & kThirdFlag) != 0;
      ask.recent = static_cast<int>(std::min(flags >> kFlagBits, kMaxRecent));
      request.asks.push_back(ask);
    }
  } catch (const json::exception&) {
    return false;  // a field has another type
  }
  return true;
}

bool Decode(const std::string& bytes, QuotaReply& reply) {
  const json fields = json::from_msgpack(bytes, true, false);
  if (!IsMessage(fields, kReplyKind, kAnswerFields)) {
    return false;
  }
  try {
    fields[1].get_to(reply.node);
    fields[2].get_to(reply.start);
    fields[3].get_to(reply.sequence);
    reply.answers.clear();
    for (std::size_t index = kHeadFields; index < fields.size(); index += kAnswerFields) {
      QuotaAnswer answer;
      fields[index].get_to(answer.customer);
      answer.granted = std::max(0, fields[index + 1].get<int>());
      const auto flags = fields[index + 2].get<unsigned>();
      answer.must_ask = (flags & kFirstFlag) != 0;
      answer.is_young = (flags & kSecondFlag) != 0;
      answer.retry_after = DecodeSpan(fields[index + 3]);
      answer.hold = DecodeSpan(fields[index + 4]);
      answer.share = std::clamp(fields[index + 5].get<double>() * kShareUnit, 0.0, 1.0);
      answer.demand = std::max(0.0, fields[index + 6].get<double>() * kDemandUnit);
      reply.answers.push_back(answer);
    }
  } catch (const json::exception&) {
    return false;  // a field has another type
  }
  return true;
}

}  // namespace lentilhead::customers
