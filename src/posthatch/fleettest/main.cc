#include "posthatch/fleettest/command_line.h"
#include "posthatch/fleettest/simulated_node_factory.h"

int main(int argc, char** argv) {
  posthatch::fleettest::SimulatedNodeFactory factory;
  return posthatch::fleettest::RunCommandLine(argc, argv, &factory);
}
