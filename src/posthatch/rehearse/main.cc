#include "posthatch/rehearse/command_line.h"
#include "posthatch/rehearse/simulated_node_factory.h"

int main(int argc, char** argv) {
  posthatch::rehearse::SimulatedNodeFactory factory;
  return posthatch::rehearse::RunCommandLine(argc, argv, &factory);
}
