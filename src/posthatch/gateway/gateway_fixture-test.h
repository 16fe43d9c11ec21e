#pragma once

#include "gtest/gtest.h"
#include "posthatch/gateway/gateway_fakes-test.h"

namespace posthatch::gateway {

class GatewayTest : public testing::Test, protected FakeFleet {};

}  // namespace posthatch::gateway
