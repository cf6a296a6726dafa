// Tests of the emulator's event queue, and of Slab, which owns the objects that events identify by
// id.
#include "emulator/event_queue.h"

#include <gtest/gtest.h>

#include <string>
#include <variant>

#include "emulator/slab.h"

namespace beechhill::emulator {
namespace {

TEST(EventQueue, OrdersByTimeAndThenByScheduling) {
  EventQueue queue;
  queue.schedule(Time{2}, SecondEnds{0});
  queue.schedule(Time{1}, SecondEnds{1});
  queue.schedule(Time{2}, SecondEnds{2});
  queue.schedule(Time{1}, SecondEnds{3});
  std::vector<std::size_t> order;
  while (!queue.empty()) {
    order.push_back(std::get<SecondEnds>(queue.top().event).second);
    queue.pop();
  }
  EXPECT_EQ(order, (std::vector<std::size_t>{1, 3, 0, 2}));
}

TEST(Slab, DoesNotFindAnElementByAStaleId) {
  Slab<std::string> slab;
  const std::uint64_t first = slab.add("first");
  EXPECT_NE(first, 0u);
  ASSERT_NE(slab.find(first), nullptr);
  EXPECT_EQ(*slab.find(first), "first");
  slab.remove(first);
  slab.remove(first);
  EXPECT_EQ(slab.live(), 0u);
  const std::uint64_t second = slab.add("second");
  EXPECT_NE(second, first);
  EXPECT_EQ(slab.find(first), nullptr);
  EXPECT_EQ(*slab.find(second), "second");
  EXPECT_EQ(slab.find(~0ULL), nullptr);
}

}  // namespace
}  // namespace beechhill::emulator
