#include "platform/platform_client.h"

#include "platform/instance_json.h"

namespace mangohold {
namespace {

// The settings of a whole deployment, of all its workspaces.
constexpr MaxBody kMaxAnswer{32U << 20U};

using Json = nlohmann::json;

DocumentVersion ToDocument(const Json& item) {
  return {.path = item.at("path").get<std::string>(),
          .revision = item.at("revision").get<Revision>(),
          .text = item.at("text").get<std::string>()};
}

TreeUpdate ToUpdate(const Json& reply) {
  TreeUpdate update;
  for (const Json& item : reply.at("items")) {
    update.documents.push_back(ToDocument(item));
  }
  update.complete_through = reply.at("revision").get<Revision>();
  return update;
}

std::vector<Instance> ToInstances(const Json& reply) {
  return reply.at("instances").get<std::vector<Instance>>();
}

// Turns a response into a value, or into a status that says what was wrong.
template <typename Value>
absl::StatusOr<Value> Interpret(const HttpResponse& response,
                                Value (*convert)(const Json&)) {
  if (response.result != HttpResult::kComplete) {
    return absl::UnavailableError("the platform can't be reached");
  }
  if (response.status != 200) {
    return absl::UnavailableError("the platform answered with status " +
                                  std::to_string(response.status));
  }
  try {
    return convert(Json::parse(response.body));
  } catch (const Json::exception& error) {
    return absl::InternalError(std::string("the platform's answer: ") +
                               error.what());
  }
}

// 503 and 400 are the store's word that it took nothing. Any other status
// without a revision leaves the write's fate open.
WriteReply ToWriteReply(const HttpResponse& response) {
  WriteReply reply;
  if (response.result == HttpResult::kNotSent) {
    reply.result = WriteResult::kRefused;
    return reply;
  }
  if (response.result != HttpResult::kComplete) return reply;
  if (response.status == 503 || response.status == 400) {
    reply.result = WriteResult::kRefused;
    return reply;
  }
  const Json body = Json::parse(response.body, nullptr, false);
  const bool has_revision = body.is_object() && body.contains("revision") &&
                            body["revision"].is_number_unsigned();
  if (!has_revision) return reply;
  reply.revision = body["revision"].get<Revision>();
  if (response.status == 200) reply.result = WriteResult::kWritten;
  if (response.status == 409) reply.result = WriteResult::kConflict;
  return reply;
}

}  // namespace

PlatformClient::PlatformClient(HttpClient& http, Options options,
                               Counters& counters)
    : http_(http), options_(std::move(options)), counters_(counters) {}

void PlatformClient::Call(HttpCall call,
                          std::function<void(HttpResponse)> on_response) {
  call.url = options_.url + call.url;
  call.fields.push_back({"Mangohold-Instance", options_.instance.value()});
  counters_.Count(Event::kPlatformCalls);
  Fetch(http_, std::move(call), kMaxAnswer,
        [this, on_response = std::move(on_response)](HttpResponse response) {
          const bool is_failure = response.result != HttpResult::kComplete ||
                                  response.status >= 500;
          if (is_failure) counters_.Count(Event::kPlatformFailures);
          on_response(std::move(response));
        });
}

void PlatformClient::Watch(
    Revision after, Duration wait,
    std::function<void(absl::StatusOr<TreeUpdate>)> on_update) {
  HttpCall call{.url = "/v1/kv?after=" + std::to_string(after.number()) +
                       "&wait_ms=" + std::to_string(ToMillis(wait))};
  call.connect_timeout = options_.timeout;
  call.timeout = options_.timeout + wait;
  Call(std::move(call),
       [on_update = std::move(on_update)](const HttpResponse& response) {
         on_update(Interpret(response, &ToUpdate));
       });
}

void PlatformClient::Read(
    const std::string& path,
    std::function<void(absl::StatusOr<DocumentVersion>)> on_read) {
  HttpCall call{.url = "/v1/kv" + path, .timeout = options_.timeout};
  Call(std::move(call),
       [on_read = std::move(on_read)](const HttpResponse& response) {
         on_read(Interpret(response, &ToDocument));
       });
}

// The connection is a fresh one, because a write that libcurl sent a second
// time would look like a conflict with itself.
void PlatformClient::Write(const std::string& path, const std::string& text,
                           Revision expected,
                           std::function<void(WriteReply)> on_reply) {
  HttpCall call{.method = "PUT",
                .url = "/v1/kv" + path +
                       "?if_revision=" + std::to_string(expected.number()),
                .body = text,
                .timeout = options_.timeout,
                .fresh_connection = true};
  Call(std::move(call),
       [on_reply = std::move(on_reply)](const HttpResponse& response) {
         on_reply(ToWriteReply(response));
       });
}

void PlatformClient::Instances(
    std::function<void(absl::StatusOr<std::vector<Instance>>)> on_list) {
  HttpCall call{.url = "/v1/instances", .timeout = options_.timeout};
  Call(std::move(call),
       [on_list = std::move(on_list)](const HttpResponse& response) {
         on_list(Interpret(response, &ToInstances));
       });
}

}  // namespace mangohold
