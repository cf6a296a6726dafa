// Properties of subsets over random fleets, and the ranked set that choices are sampled from.
#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <set>

#include "balancer/state/ranked_set.h"
#include "routing/subset.h"

namespace beechhill::routing {
namespace {

constexpr std::uint32_t kCell = 8;

Endpoint entry(EndpointId id) {
  Endpoint e;
  e.id = id;
  e.cell = id / kCell;
  e.zone = e.cell % 4;
  return e;
}
struct Fleet {
  explicit Fleet(EndpointId nodes, std::uint64_t seed = 0) : salt(seed << 32) {
    for (EndpointId id = 0; id < nodes; ++id) {
      list.endpoints.push_back(entry(id));
    }
  }
  std::vector<std::uint64_t> hashes(const EndpointUpdate& d) const {
    std::vector<std::uint64_t> all;
    for (const Endpoint& e : d.endpoints) {
      all.push_back(salt + e.id + 1);
    }
    return all;
  }
  EndpointUpdate list{UpdateKind::kSnapshot, {}};
  std::uint64_t salt;
};

std::vector<SubsetView> proxies_of(std::uint32_t count, SubsetSettings s, const Fleet& fleet,
                                   Unit unit = Unit::kEndpoint) {
  std::vector<SubsetView> all;
  for (std::uint32_t i = 0; i < count; ++i) {
    s.proxy_index = i;
    all.emplace_back(s, unit, "proxy-" + std::to_string(i));
    all.back().apply(fleet.list, fleet.hashes(fleet.list));
  }
  return all;
}
std::vector<int> users_of(const std::vector<SubsetView>& proxies, EndpointId nodes) {
  std::vector<int> users(nodes, 0);
  for (const SubsetView& p : proxies) {
    for (EndpointId id = 0; id < nodes; ++id) {
      users[id] += p.uses(id);
    }
  }
  return users;
}

TEST(Subset, SmallFleetsAreUsedWhole) {
  const Fleet fleet(60);
  for (const std::uint32_t nodes : {0u, 60u, 100u}) {
    SubsetView view({nodes, 8, 10, 3u}, Unit::kCell, "p");
    const EndpointUpdate out = view.apply(fleet.list, fleet.hashes(fleet.list));
    ASSERT_EQ(out.endpoints.size(), 60u);
    for (std::size_t i = 0; i < 60; ++i) {
      EXPECT_EQ(out.endpoints[i].id, i);
    }
  }
}

// Every node has nearly as many proxies as any other, even where the number of proxies is told
// wrong by two.
TEST(Subset, IsBalanced) {
  for (const auto& [nodes, count, told] : {std::tuple{1000u, 50u, 50u},
                                           {1000u, 50u, 25u},
                                           {1000u, 50u, 100u},
                                           {10'000u, 100u, 100u}}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      const Fleet fleet(nodes, seed);
      SubsetSettings s{100, 8, told, std::nullopt};
      const auto proxies = proxies_of(count, s, fleet);
      const auto users = users_of(proxies, nodes);
      const auto [least, most] = std::minmax_element(users.begin(), users.end());
      const double mean = arc_width(s, nodes) * count;
      EXPECT_GE(*least, mean - 3) << nodes << " told " << told;
      EXPECT_LE(*most, mean + 3) << nodes << " told " << told;
      EXPECT_GE(*least, 1);
      for (const SubsetView& p : proxies) {
        EXPECT_GE(p.used_endpoints(), 60u);
      }
    }
  }
}

// A node that comes or goes changes only the proxies that use it; a proxy that comes changes no
// other.
TEST(Subset, OneChangeMovesLittle) {
  std::mt19937_64 random(3);
  for (int round = 0; round < 20; ++round) {
    const EndpointId nodes = 500 + static_cast<EndpointId>(random() % 2000);
    Fleet fleet(nodes, random() % 1000);
    auto proxies = proxies_of(40, {100, 8, 40, std::nullopt}, fleet);
    const auto before = users_of(proxies, nodes + 1);
    EndpointUpdate change{UpdateKind::kDelta, {entry(nodes)}};
    if (round % 2) {
      change.endpoints[0] = entry(static_cast<EndpointId>(random() % nodes));
      change.endpoints[0].status = EndpointStatus::kRemoved;
    }
    std::size_t told = 0;
    for (SubsetView& p : proxies) {
      told += p.apply(change, fleet.hashes(change)).endpoints.size();
    }
    const auto after = users_of(proxies, nodes + 1);
    const EndpointId touched = change.endpoints[0].id;
    for (EndpointId id = 0; id <= nodes; ++id) {
      EXPECT_TRUE(id == touched || before[id] == after[id]) << id;
    }
    EXPECT_EQ(told, static_cast<std::size_t>(std::abs(after[touched] - before[touched])));
  }
}

TEST(Subset, KeepsGroupsWholeAndLosesItsShareWithAZone) {
  const Fleet fleet(4000);
  for (const SubsetView& p : proxies_of(30, {300, 8, 30, std::nullopt}, fleet, Unit::kCell)) {
    std::vector<int> by_zone(4, 0);
    for (EndpointId id = 0; id < 4000; ++id) {
      EXPECT_EQ(p.uses(id), p.uses(id / kCell * kCell)) << "cell " << id / kCell;
      by_zone[entry(id).zone] += p.uses(id);
    }
    for (const int n : by_zone) {
      EXPECT_NEAR(static_cast<double>(n) / static_cast<double>(p.used_endpoints()), 0.25, 0.12);
    }
  }
}

TEST(Subset, TellsTheModuleOfItsPartAlone) {
  const Fleet fleet(1000);
  SubsetView view({100, 8, 0, std::nullopt}, Unit::kEndpoint, "proxy-a"),
      twin({100, 8, 0, std::nullopt}, Unit::kEndpoint, "proxy-a");
  const EndpointUpdate out = view.apply(fleet.list, fleet.hashes(fleet.list));
  twin.apply(fleet.list, fleet.hashes(fleet.list));
  EXPECT_EQ(out.endpoints.size(), view.used_endpoints());
  for (EndpointId id = 0; id < 1000; ++id) {
    EXPECT_EQ(view.uses(id), twin.uses(id));  // two of one name: the same part
  }
  const EndpointId mine = out.endpoints[0].id;
  EndpointId other = 0;
  while (view.uses(other)) {
    ++other;
  }
  EndpointUpdate drain{UpdateKind::kDelta, {entry(mine), entry(other)}};
  for (Endpoint& e : drain.endpoints) {
    e.status = EndpointStatus::kDraining;
  }
  const EndpointUpdate told = view.apply(drain, fleet.hashes(drain));
  ASSERT_EQ(told.endpoints.size(), 1u);
  EXPECT_EQ(told.endpoints[0].id, mine);
  EXPECT_EQ(told.endpoints[0].status, EndpointStatus::kDraining);
  EXPECT_EQ(view.apply(EndpointUpdate{UpdateKind::kFailed, {}}, {}).kind, UpdateKind::kFailed);
}

// A subset whose nodes all go is widened; and it is what it was when they are back.
TEST(Subset, WidensWhereItsNodesAreGone) {
  const Fleet fleet(1000);
  SubsetView view({60, 8, 0, std::nullopt}, Unit::kEndpoint, "p");
  view.apply(fleet.list, fleet.hashes(fleet.list));
  std::vector<EndpointId> mine;
  EndpointUpdate down{UpdateKind::kDelta, {}}, back{UpdateKind::kDelta, {}};
  for (EndpointId id = 0; id < 1000; ++id) {
    if (view.uses(id)) {
      mine.push_back(id);
      down.endpoints.push_back(entry(id));
      back.endpoints.push_back(entry(id));
      down.endpoints.back().status = EndpointStatus::kDraining;
    }
  }
  const EndpointUpdate told = view.apply(down, fleet.hashes(down));
  std::size_t up = 0;
  for (const Endpoint& e : told.endpoints) {
    up += e.status == EndpointStatus::kUp;
  }
  EXPECT_GE(up, mine.size() / 2);
  view.apply(back, fleet.hashes(back));
  EXPECT_EQ(view.used_endpoints(), mine.size());
  for (const EndpointId id : mine) {
    EXPECT_TRUE(view.uses(id));
  }
}

// Half of the fleet is replaced, node by node: what the module was told, all in all, is what the
// view says.
TEST(Subset, WhatIsToldAddsUp) {
  std::mt19937_64 random(11);
  Fleet fleet(800);
  SubsetView view({120, 8, 20, 7u}, Unit::kEndpoint, "p");
  std::set<EndpointId> known;
  const auto take = [&](const EndpointUpdate& told) {
    if (told.kind == UpdateKind::kSnapshot) {
      known.clear();
    }
    for (const Endpoint& e : told.endpoints) {
      e.status == EndpointStatus::kRemoved ? known.erase(e.id) : known.insert(e.id).second;
    }
  };
  take(view.apply(fleet.list, fleet.hashes(fleet.list)));
  for (EndpointId i = 0; i < 400; ++i) {
    EndpointUpdate change{UpdateKind::kDelta,
                          {entry(800 + i), entry(static_cast<EndpointId>(random() % 800))}};
    change.endpoints[1].status = EndpointStatus::kRemoved;
    take(view.apply(change, fleet.hashes(change)));
    for (EndpointId id = 0; i % 40 == 0 && id < 1200; ++id) {
      ASSERT_EQ(known.count(id) > 0, view.uses(id)) << id;
    }
  }
}

TEST(RankedSet, KeepsTheOrderOfRanksWhileOthersComeAndGo) {
  std::mt19937_64 random(5);
  std::uniform_real_distribution<double> rank;
  std::vector<std::pair<double, EndpointId>> all;
  for (EndpointId id = 0; id < 300; ++id) {
    all.emplace_back(rank(random), id);
  }
  RankedSet set;
  set.assign(all);
  std::set<std::pair<double, EndpointId>> model(all.begin(), all.end());
  for (int i = 0; i < 2000; ++i) {
    const auto& e = all[random() % all.size()];
    if (random() % 2) {  // both may find it done already
      set.insert(e.first, e.second);
      model.insert(e);
    } else {
      set.erase(e.first, e.second);
      model.erase(e);
    }
    ASSERT_EQ(set.size(), model.size());
    std::size_t k = 0;
    for (const auto& m : model) {
      ASSERT_EQ(set[k++], m.second);
    }
  }
}

}  // namespace
}  // namespace beechhill::routing
