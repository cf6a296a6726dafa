#include "serve/group.h"

#include <json/json.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "log/log.h"
#include "maintenance/maintenance_actor.h"
#include "maintenance/staff.h"
#include "membership/talk_actor.h"
#include "proxy/log.h"

namespace beechhill::service {

using proxy::now;

namespace {

// A drain as the door's course has it: after this no client is sent here any more.
constexpr Duration kDrained{2'000'000};

membership::Keys keys_from(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    throw std::runtime_error("membership.key_file: cannot be read: " + file);
  }
  try {
    return membership::read_keys(std::string(std::istreambuf_iterator<char>(in), {}));
  } catch (const std::invalid_argument& error) {
    throw std::runtime_error("membership.key_file: " + file + ": " + error.what());
  }
}

class TalkingGroup : public Group {
 public:
  explicit TalkingGroup(const GroupParts& parts)
      : parts_(parts),
        talk_(parts.scheduler, membership_settings(), *net::parse_address(settings().listen),
              settings().advertise, name(), keys_from(settings().key_file), listener()) {
    const auto& m = parts_.settings.maintenance;
    if (!m.voters.empty()) {
      parts_.decisions.wait_for_rights();
      maintenance_.emplace(
          parts_.scheduler, works_settings(), m.folder, talk_.life(), talk_.inbox(),
          parts_.decisions.inbox(), [this] { return look(); }, [this](bool out) { drain(out); });
      parts_.scheduler.spawn(maintenance_->run());
    }
    parts_.scheduler.spawn(talk_.run());
  }

  admin::Group calls() override {
    return [this](const admin::Call& call, std::shared_ptr<proxy::AskedText> asked) {
      answer(call, std::move(asked));
    };
  }

  void reload(const config::OperatorSettings& fresh) override {
    try {
      membership::TalkMessage message(membership::NewKeys{keys_from(fresh.membership.key_file)});
      if (!talk_.inbox().post(std::move(message))) {
        proxy::log_lost("keys");
      }
    } catch (const std::exception& error) {
      proxy::log_fault("keys_kept", error);
    }
  }

  void say_good_bye() override { talk_.say_good_bye(); }

 private:
  const config::MembershipSettings& settings() const { return parts_.settings.membership; }
  const std::string& name() const { return parts_.config.name; }

  membership::Settings membership_settings() const {
    if (name().empty() || name().size() > membership::kLongestName ||
        name().find('#') != std::string::npos) {
      throw std::runtime_error(
          "membership: the configuration's name must be 1 to 48 bytes, without #");
    }
    // Two processes of one name would be one member.
    if (parts_.config.inherited) {
      throw std::runtime_error("membership: not with an inherited socket (GW_FD)");
    }
    return {settings().interval, settings().forget_after, settings().seeds};
  }

  membership::Listener listener() {
    const auto post = [this](auto message) {
      maintenance::MaintenanceMessage posted(std::move(message));
      return !maintenance_ || maintenance_->inbox().post(std::move(posted));
    };
    return {post, post};
  }

  maintenance::WorksSettings works_settings() const {
    const auto& m = parts_.settings.maintenance;
    const Settings& s = parts_.config.named.settings;
    maintenance::WorksSettings w;
    w.self = name(), w.zone = parts_.config.named.zone;
    w.voters = m.voters;
    w.lease = m.lease, w.isolated_after = m.isolated_after, w.serve_unheard = m.serve_unheard,
    w.hear_within = m.hear_within;
    w.drain_grace = s.drain_grace;
    w.longest_call = Duration{0};
    for (const ClassSettings& c : s.classes) {
      w.longest_call = std::max(w.longest_call, c.deadline);
      // Whoever remembers a keyed request's repeats must not be taken out to the last one.
      w.bounds.keep_zone =
          w.bounds.keep_zone || (c.effect == Effect::kKeyed && c.group == beechhill::Group::kZone);
      w.bounds.keep_cell =
          w.bounds.keep_cell || (c.effect == Effect::kKeyed && c.group == beechhill::Group::kCell);
    }
    const bool zone = w.bounds.keep_zone, cell = w.bounds.keep_cell;
    w.bounds = m.bounds;
    w.bounds.keep_zone = zone, w.bounds.keep_cell = cell;
    return w;
  }

  maintenance::View look() const {
    maintenance::View v;
    for (const proxy::DecisionActor::Listed& b : parts_.decisions.listed()) {
      v.machines.push_back({b.host, b.zone, std::to_string(b.cell), b.kind,
                            maintenance::Role::kBackend, b.width, b.up, b.warm, b.born.count()});
    }
    v.use = parts_.decisions.use();
    v.busy = parts_.decisions.busy();
    for (ClassId id = 0; id < parts_.config.named.classes.size(); ++id) {
      const proxy::Telemetry::Counts& c = parts_.telemetry.of(id);
      v.served += c.completed, v.unserved += c.rejected + c.failed;
    }
    v.warm = parts_.decisions.stage() == recovery::Stage::kFull;
    v.ending = parts_.ending();
    v.idle = parts_.telemetry.pending() == 0 &&
             (v.ending || (drained_ && now() >= *drained_ + kDrained));
    return v;
  }

  void drain(bool out) {
    drained_ = out ? std::optional(now()) : std::nullopt;
    handover::Order order{out ? handover::Change::kEvacuate : handover::Change::kRejoin,
                          {},
                          std::make_shared<proxy::Asked>()};
    if (!parts_.orders.post(std::move(order))) {
      proxy::log_lost("drain");
    }
  }

  std::string members() const {
    const membership::Swim& swim = talk_.swim();
    Json::Value root;
    root["self"] = name(), root["sure"] = swim.sure(), root["slowness"] = swim.slowness(),
    root["incarnation"] = swim.incarnation();
    root["refused_datagrams"] = Json::UInt64(talk_.refused());
    root["members"] = Json::Value(Json::arrayValue);
    for (const auto& [name, m] : swim.members()) {
      Json::Value row;
      row["name"] = name, row["address"] = m.rumour.address,
      row["state"] = membership::name(m.rumour.state), row["incarnation"] = m.rumour.incarnation;
      row["for_s"] = Json::Int64((now() - m.since) / std::chrono::seconds(1));
      root["members"].append(row);
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, root) + "\n";
  }

  void answer(const admin::Call& call, std::shared_ptr<proxy::AskedText> asked) {
    if (call.what == admin::What::kMembers) {
      asked->text = members();
      return asked->answer(200);
    }
    if (!maintenance_) {
      return asked->answer(404);
    }
    std::optional<maintenance::MaintenanceMessage> message;
    if (call.what == admin::What::kWorks) {
      const auto id = call.query.find("id");
      message.emplace(maintenance::StaffQuestion{id == call.query.end() ? "" : id->second, asked});
    } else {
      auto command = maintenance::command_from(call.verb, call.query, asked->text);
      if (!command) {
        return asked->answer(400);
      }
      message.emplace(maintenance::StaffOrder{std::move(*command), asked});
    }
    if (!maintenance_->inbox().post(std::move(*message))) {
      asked->answer(503);
    }
  }

  GroupParts parts_;
  membership::TalkActor talk_;
  std::optional<maintenance::MaintenanceActor> maintenance_;
  std::optional<Time> drained_;
};

}  // namespace

std::unique_ptr<Group> join_group(const GroupParts& parts) {
  if (parts.settings.membership.listen.empty()) {
    return nullptr;
  }
  return std::make_unique<TalkingGroup>(parts);
}

}  // namespace beechhill::service
