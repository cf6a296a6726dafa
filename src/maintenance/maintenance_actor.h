// Sole owner of this proxy's part in taking machines out: carries what Works says to the other
// proxies, the disk, and the actors here.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "config/operator_file.h"
#include "maintenance/disk_storage.h"
#include "maintenance/works.h"
#include "membership/talk_actor.h"
#include "proxy/operation.h"

namespace beechhill::maintenance {

struct StaffOrder {
  Command command;
  std::shared_ptr<proxy::AskedText> asked;
};
struct StaffQuestion {
  std::string request;  // empty: all
  std::shared_ptr<proxy::AskedText> asked;
};
using MaintenanceMessage =
    std::variant<membership::Heard, membership::Woke, StaffOrder, StaffQuestion>;
using MaintenanceBox = runtime::Mailbox<MaintenanceMessage>;

class MaintenanceActor {
 public:
  // `look`: what this proxy sees; `drain`: called when this proxy itself is to take no clients any
  // more, and when it may again. What is referred to must outlive the actor. Throws
  // std::runtime_error where a voter's folder cannot be used.
  MaintenanceActor(runtime::Scheduler& scheduler, WorksSettings settings, std::string folder,
                   std::uint64_t life, membership::TalkBox& talk, proxy::DecisionBox& decisions,
                   std::function<View()> look, std::function<void(bool)> drain);

  MaintenanceBox& inbox() { return inbox_; }
  runtime::Task<> run();

 private:
  void begin();
  void on(const membership::Heard& heard);
  void on(const membership::Woke&);
  void on(StaffOrder& order);
  void on(StaffQuestion& question);
  void mind_storage();
  void pass_on();

  runtime::Scheduler& scheduler_;
  const WorksSettings settings_;
  const std::string folder_;
  const std::uint64_t life_;
  const bool votes_;
  membership::TalkBox& talk_;
  proxy::DecisionBox& decisions_;
  const std::function<View()> look_;
  const std::function<void(bool)> drain_;
  MaintenanceBox inbox_;
  std::unique_ptr<DiskStorage> storage_;
  std::unique_ptr<Works> works_;
  bool led_ = false;
  Time look_at_{0};
  std::map<std::string, Time> told_;
  Time told_serve_until_ = Time::min();
  bool told_out_ = false, halted_said_ = false;
};

}  // namespace beechhill::maintenance
