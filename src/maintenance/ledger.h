// What the voters have settled about machines taken out for work: requests, the roster of proxies,
// the list and load figures that they agreed to go by, and the course of each machine. Changed by
// settled commands alone and by nothing else, so that whoever holds the same commands holds the
// same ledger. Free of I/O and clocks; its time is what the commands say.
// docs/design/maintenance.md weighs the ways.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace beechhill::maintenance {

using Seconds = std::int64_t;  // Unix time, or a span, in whole seconds: people plan in minutes
using Index = std::uint64_t;   // of a settled command
using Fence = std::uint64_t;   // of one course of a machine; later ones are higher

enum class Role : std::uint8_t { kBackend, kProxy };

struct Machine {
  std::string id, zone, cell, kind;
  Role role = Role::kBackend;
  double width = 1;  // of what its tier can do, against the others
  bool operator==(const Machine&) const = default;
  bool up = true;  // listed, in service, not barred by hand
  bool warm = true;
  std::int64_t born = 0;  // of its present start, as the list tells it
};

struct Select {  // what a request is for: those that match all that is not empty
  Role role = Role::kBackend;
  std::set<std::string> ids;
  std::string zone, cell, kind;
  bool matches(const Machine& m) const;
};

struct Request {
  std::string id;
  Select select;
  std::uint32_t at_once = 1;
  Seconds length = 0;                     // expected, of one machine's work; 0: not said
  Seconds not_before = 0, not_after = 0;  // 0: any time
  std::int32_t priority = 0;
  std::string by, why;
  // Settled:
  bool approved = false, held = false, cancelled = false;
  Seconds asked = 0;
  std::set<std::string> done;              // machines
  std::map<std::string, Seconds> put_off;  // machines that were called back: not before then
  bool open() const { return !cancelled && !ended; }
  bool ended = false;  // nothing is left of it
};

// What a machine goes through. From kAnnounced on it counts as out.
enum class Step : std::uint8_t {
  kAnnounced,   // all proxies are told that it is next, none has stopped sending
  kEvacuating,  // nothing new goes to it; proxies confirm when nothing of theirs is open there
  kEmpty,       // all have confirmed
  kOut,         // staff may work on it
  kWarming,     // back, and cold
};
const char* name(Step step);

struct Course {
  std::string request, machine;
  Fence fence = 0;
  Step step = Step::kAnnounced;
  Index since_index = 0;  // of the command that brought it to this step
  Seconds since = 0;
  std::int64_t born = 0;            // of the machine, when it was said to be out
  std::set<std::string> confirmed;  // proxies, for kEvacuating
};

// What must be left; settled, so that all reckon with the same. Equal in the operator files of the
// voters.
struct Bounds {
  double reserve = 0.25;  // of what the load needs, on top of it
  std::uint32_t most_out = 1, most_out_zone = 1, most_out_cell = 1;
  bool keep_zone = false,
       keep_cell =
           false;  // never the last of a zone, or a cell: it holds the memory of a keyed class
  std::uint32_t least_proxies = 1;  // in each zone
  Seconds evacuate_within = 60;     // then a machine is called back
  Seconds put_off = 60;             // and tried again so much later
  Seconds age_step = 600;           // a request that waited so long counts as one priority higher
  Seconds calm = 30;                // without trouble, before an incident's pause ends
  bool needs_approval = true;
  bool operator==(const Bounds&) const = default;
};

// ---- Commands

enum class What : std::uint8_t {
  kAsk,
  kApprove,
  kHold,
  kResume,
  kCancel,
  kDone,    // staff's
  kForget,  // staff's: that proxy is off for good, or sends nothing
  kBounds,
  kFacts,
  kTime,
  kJoin,
  kLeave,  // the leader's
  kAnnounce,
  kGrant,
  kConfirm,
  kOut,
  kWarm,
  kCallBack,
};

struct Command {
  What what = What::kFacts;
  Seconds at = 0;
  std::string id;  // of a request; of staff's command, so that one that comes twice counts once
  std::string machine, proxy, by;
  Fence fence = 0;
  std::optional<Request> request;
  std::optional<Bounds> bounds;
  // Facts: machines that are new or have changed, and those that have gone from the list.
  std::vector<Machine> machines;
  std::set<std::string> gone;
  std::map<std::string, double> use;  // of a zone's width, 0 to 1
  std::string trouble;                // an incident; empty: none
};

std::string encode(const Command& command);
std::optional<Command> decode(std::string_view bytes);

inline constexpr std::size_t kMostRequests = 200;  // open or lately ended
inline constexpr std::size_t kMostMachines = 4'000;
inline constexpr std::size_t kMostRoster = 1'000;
inline constexpr std::size_t kLongestText = 200;

class Ledger {
 public:
  // Applies a settled command; the index counts up by one or more. Returns null, or why it changed
  // nothing, as a reason code.
  const char* apply(Index index, const Command& command);

  // The order: what is to be settled next as far as settled facts decide it, given which index each
  // proxy of the roster has shown to hold (a proxy that is missing has shown none). A pure
  // function.
  std::vector<Command> next(const std::map<std::string, Index>& shown) const;
  // Why a request does not go on, a line for each reason; empty: nothing stands in its way.
  std::vector<std::string> explain(const std::string& request,
                                   const std::map<std::string, Index>& shown) const;

  // Whether proxies may send new work to a machine. `announced`: only those that hold a lease may.
  struct Right {
    bool barred = false, announced = false;
    Fence fence = 0;
  };
  std::map<std::string, Right> rights(Role role) const;  // of machines in a course

  Index index() const { return index_; }
  Seconds time() const { return time_; }
  const std::map<std::string, Request>& requests() const { return requests_; }
  const std::map<std::string, Course>& courses() const { return courses_; }  // by machine
  const std::set<std::string>& roster() const { return roster_; }
  const Bounds& bounds() const { return bounds_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  const std::map<std::string, double>& use() const { return use_; }
  bool paused() const { return time_ < calm_from_; }
  const std::string& trouble() const { return trouble_; }

  std::string snapshot() const;
  bool restore(std::string_view bytes);  // false where it is none: nothing has changed then

 private:
  const char* ask(const Command& c);
  const char* of_request(const Command& c);
  const char* announce(const Command& c);
  const char* advance(const Command& c);
  const char* confirm(const Command& c);
  void facts(const Command& c);
  void drop(const std::string& machine, bool done);
  void tidy();
  // What the machines of one role show together: summed once for all that is asked of them.
  struct Place {
    std::uint32_t out = 0, serving = 0;  // in a course; up, warm and in none
    double left = 0, needed = 0;         // widths of those that serve; what the load takes
  };
  struct Room {
    Place whole;
    std::map<std::string, Place> zones;
    std::map<std::pair<std::string, std::string>, Place> cells;  // by zone and cell
    std::uint32_t unlisted = 0;  // in a course, and gone from the list: they count everywhere
  };
  Room room(Role role) const;
  bool serves(const Machine& m) const { return m.up && m.warm && !out(m); }
  // Why that machine may not be announced now; empty: it may. `room`: of its role.
  std::string stands_in_way(const Request& r, const Machine& m, const Room& room) const;
  std::vector<const Request*> in_order() const;
  std::int64_t rank(const Request& r) const;
  bool out(const Machine& m) const { return courses_.contains(m.id); }
  Role role_of(const Course& c) const;
  std::string waits_for(const Course& c, const std::map<std::string, Index>& shown) const;

  Index index_ = 0;
  Seconds time_ = 0, calm_from_ = 0;
  Fence next_fence_ = 1;
  Bounds bounds_;
  std::string trouble_;
  std::map<std::string, Request> requests_;
  std::map<std::string, Course> courses_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, double> use_;
  std::set<std::string> roster_;
};

}  // namespace beechhill::maintenance
