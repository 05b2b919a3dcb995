#include <doctest/doctest.h>

#include <set>

#include "framework/hash.h"
#include "online/caller_registry.h"
#include "online/internal/model_request.h"
#include "online/internal/sse_scanner.h"
#include "online/internal/stream_transcript.h"
#include "online/online_settings.h"

namespace lentilhead::online {

using internal::ModelRequest;
using internal::ParseModelRequest;
using internal::SseScanner;

TEST_CASE("the scanner ends at [DONE], wherever the stream is cut into pieces") {
  const std::string events = "data: {\"a\":\"data: [DONE]\"}\n\n: note\r\n\r\ndata: [DONE]\n\n";
  const std::string stream = events + "data: {\"late\":1}\n\n";
  for (std::size_t size = 1; size <= stream.size(); ++size) {
    SseScanner scanner;
    std::string forwarded;
    auto end = SseScanner::End::kOpen;
    for (std::size_t at = 0; at < stream.size(); at += size) {
      const auto result = scanner.Feed(std::string_view{stream}.substr(at, size));
      forwarded += result.events;
      end = result.end == SseScanner::End::kOpen ? end : result.end;
    }
    CHECK(forwarded == events);
    CHECK(end == SseScanner::End::kDone);
  }
  SseScanner failing;
  const auto result = failing.Feed("data: {\"a\":1}\n\ndata: {\"error\":{}}\n\n");
  CHECK(result.events == "data: {\"a\":1}\n\n");
  CHECK(result.end == SseScanner::End::kError);
}

TEST_CASE("a resumed request carries the forwarded text and the remaining token limit") {
  internal::StreamTranscript transcript;
  transcript.Append(
      "data: {\"id\":\"1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a \"}}]}\n\n");
  const auto content = transcript.Read();
  const std::string request =
      R"({"model":"m","max_tokens":3,"messages":[{"role":"user","content":"hi"}]})";
  const auto body = internal::BuildResumeBody(request, content);
  REQUIRE(body);
  const auto resumed = nlohmann::json::parse(*body);
  CHECK(resumed["max_tokens"] == 2);
  CHECK(resumed["messages"][1]["content"] == "a ");
  CHECK(resumed["continue_final_message"] == true);
  CHECK_FALSE(internal::BuildResumeBody(R"({"n":2,"messages":[]})", content));
  CHECK_FALSE(internal::BuildResumeBody(R"({"max_tokens":1,"messages":[]})", content));
}

TEST_CASE("model requests are validated when they are parsed") {
  const auto reason = [](std::string_view body, bool chat) {
    return std::get<RefusalReason>(ParseModelRequest(body, chat));
  };
  CHECK(reason("{", true) == RefusalReason::kInvalidJson);
  CHECK(reason("[]", true) == RefusalReason::kInvalidJson);
  CHECK(reason("{}", true) == RefusalReason::kInvalidRequest);
  CHECK(reason(R"({"model":"m","messages":"x"})", true) == RefusalReason::kInvalidRequest);
  CHECK(reason(R"({"model":"m","messages":[1]})", true) == RefusalReason::kInvalidRequest);
  CHECK(reason(R"({"model":"m","stream":1,"prompt":"x"})", false) ==
        RefusalReason::kInvalidRequest);
  const auto request = std::get<ModelRequest>(ParseModelRequest(
      R"({"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]})", true));
  CHECK(request.stream);
  CHECK(request.resumable);
}

TEST_CASE("callers are found by the digest of their key") {
  Caller caller;
  caller.name = "families";
  caller.key_sha256 = framework::Sha256Hex("secret");
  const CallerRegistry registry({caller});
  REQUIRE(registry.Find("secret"));
  CHECK(registry.Find("secret")->name == "families");
  CHECK_FALSE(registry.Find("Secret"));
  CHECK_FALSE(registry.Find(""));
}

TEST_CASE("all problems of the settings are reported together") {
  framework::SettingsReader reader(
      "[entry]\nworkers = 0\ntls_key_file = \"k\"\nintent_retention_ms = 5\n"
      "[[caller]]\nname = \"a\"\nkey_sha256 = \"xyz\"\nrole = \"owner\"\n",
      "test.toml");
  OnlineSettings::Read(reader);
  std::set<std::string> keys;
  boost::leaf::try_handle_all([&]() -> framework::Result<void> { return reader.Finish(); },
                              [&](const framework::SettingsProblems& found) {
                                for (const auto& problem : found.problems) {
                                  keys.insert(problem.key);
                                }
                              },
                              [] {});
  CHECK(keys == std::set<std::string>{"entry.caller_address", "entry.workers", "entry.tls_key_file",
                                      "entry.intent_retention_ms", "caller[0].key_sha256",
                                      "caller[0].role"});
}

TEST_CASE("every refusal reason has a unique code and an error status") {
  std::set<std::string> codes;
  for (int index = 0; index < kRefusalReasonCount; ++index) {
    const auto reason = static_cast<RefusalReason>(index);
    const auto error = ToHttpError({reason, Outcome::kNotRun, std::nullopt});
    CHECK(error.status >= 400);
    CHECK(codes.insert(NameOf(reason)).second);
  }
}

}  // namespace lentilhead::online
