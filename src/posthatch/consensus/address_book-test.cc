#include "posthatch/consensus/address_book.h"

#include <gtest/gtest.h>

namespace posthatch::consensus {
namespace {

TEST(AddressBookTest, InitiallyContainsOnlyItself) {
  const AddressBook book(1, "host1");
  EXPECT_EQ(book.EndpointOf(1), "host1");
  EXPECT_EQ(book.EndpointOf(2), "");
  EXPECT_EQ(book.Find(1), nullptr);
  EXPECT_EQ(book.Find(2), nullptr);
}

TEST(AddressBookTest, NewReplicaAtAnEndpointSucceedsThePreviousOne) {
  AddressBook book(1, "host1");
  book.Set(2, {"host2", 1});
  book.Set(3, {"host2", 1});
  EXPECT_EQ(book.EndpointOf(2), "");
  EXPECT_EQ(book.EndpointOf(3), "host2");
  EXPECT_EQ(book.SuccessorOf(2), 3U);
  EXPECT_TRUE(book.IsSuccessor(3));
  EXPECT_EQ(book.SuccessorOf(3), 0U);
  EXPECT_FALSE(book.IsSuccessor(2));
}

TEST(AddressBookTest, MovedReplicaHasNoSuccessor) {
  AddressBook book(1, "host1");
  book.Set(2, {"host2", 1});
  book.Set(2, {"host5", 2});
  EXPECT_EQ(book.EndpointOf(2), "host5");
  EXPECT_EQ(book.SuccessorOf(2), 0U);
}

TEST(AddressBookTest, OwnEndpointIsNeverAssignedToAnotherReplica) {
  AddressBook book(1, "host1");
  book.Set(2, {"host1", 1});
  EXPECT_EQ(book.EndpointOf(2), "");
  EXPECT_EQ(book.EndpointOf(1), "host1");
}

}  // namespace
}  // namespace posthatch::consensus
