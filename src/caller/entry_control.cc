#include "caller/entry_control.h"

#include <algorithm>
#include <utility>

#include "core/log.h"

namespace mangohold {
namespace {

constexpr Millis kTick{200};
constexpr int kMostAdminConnections = 256;
// The least entries of a caller's own zone that are enough for it.
constexpr std::ptrdiff_t kEnoughOfZone = 2;

}  // namespace

EntryControl::EntryControl(EventLoop& loop, Store& store, Options options,
                           Handlers handlers, Counters& counters)
    : loop_(loop),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      builder_(options_.schema, {}),
      follower_(
          loop, store, {},
          {.on_changed = [this](const auto& keys) { OnChanged(keys); },
           .on_confirmed = [this](TimePoint as_of) { OnConfirmed(as_of); },
           .on_contact = [](bool /*is_answering*/) {}}),
      lease_(loop, store,
             {.key = options_.schema.member_prefix + options_.self.id.value(),
              .value = EncodeMember(options_.self)}),
      ready_(loop.io(),
             {.address = options_.ready_address,
              .max_connections = kMostAdminConnections},
             options_.calls.ready([this] { return IsReady(); })),
      directory_(loop.io(),
                 {.address = options_.directory_address,
                  .max_connections = kMostAdminConnections},
                 options_.calls.directory([this](const auto& question) {
                   return Answer(question);
                 })),
      metrics_(loop.io(),
               {.address = options_.metrics_address,
                .max_connections = kMostAdminConnections},
               [&counters](const HttpRequest& /*request*/,
                           const std::shared_ptr<HttpExchange>& exchange) {
                 exchange->Reply(
                     200, {{"Content-Type", "text/plain; version=0.0.4"}},
                     counters.PrometheusText());
               }) {}

absl::Status EntryControl::Start() {
  for (HttpServer* server : {&ready_, &directory_, &metrics_}) {
    const absl::Status status = server->Listen();
    if (!status.ok()) return status;
  }
  follower_.Start();
  lease_.Start();
  loop_.Every(kTick, [this] { Tick(); });
  return absl::OkStatus();
}

FleetBuilder::Contact EntryControl::Contact() const {
  return {.is_answering = follower_.is_answering(),
          .answering_since = follower_.answering_since()};
}

void EntryControl::OnChanged(const std::vector<std::string>& keys) {
  const bool is_new =
      builder_.OnChanged(keys, follower_.replica(), Contact(), BootNow());
  if (is_new) Publish();
  const std::string own =
      options_.schema.member_prefix + options_.self.id.value();
  const bool is_missing = std::ranges::find(keys, own) != keys.end() &&
                          follower_.replica().Find(own) == nullptr;
  if (is_missing) lease_.OnMissing();
}

void EntryControl::OnConfirmed(TimePoint as_of) {
  confirmed_as_of_ = std::max(confirmed_as_of_, as_of);
  handlers_.on_confirmed(confirmed_as_of_);
}

void EntryControl::Tick() {
  if (builder_.OnTime(Contact(), BootNow())) Publish();
}

void EntryControl::Publish() { handlers_.on_view(builder_.View()); }

bool EntryControl::IsReady() const {
  return !is_leaving_ && builder_.routes() != nullptr &&
         BootNow() - confirmed_as_of_ <= options_.confirmation_limit;
}

// Addresses of the caller's own zone, or of all zones if it has few.
DirectoryAnswer EntryControl::Answer(const DirectoryQuestion& question) const {
  std::vector<Member> entries = builder_.Members();
  std::erase_if(entries, [this](const Member& member) {
    const bool is_self = member.id == options_.self.id;
    return member.role != MemberRole::kEntry || (is_self && is_leaving_);
  });
  const auto is_near = [&question](const Member& member) {
    return member.zone == question.zone;
  };
  if (std::ranges::count_if(entries, is_near) >= kEnoughOfZone) {
    std::erase_if(entries, std::not_fn(is_near));
  }
  DirectoryAnswer answer{.max_age = options_.address_max_age};
  std::ranges::transform(entries, std::back_inserter(answer.addresses),
                         &Member::caller);
  return answer;
}

void EntryControl::BeginLeaving() {
  is_leaving_ = true;
  lease_.Release();
}

}  // namespace mangohold
