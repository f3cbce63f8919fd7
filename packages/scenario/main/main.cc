// hibiscuspick-scenario: runs scenarios and prints why they failed.
#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "hibiscuspick/scenario/scenario.h"

int main(int argc, char** argv) {
  TCLAP::CmdLine cmd("Runs scenarios on virtual time.", ' ', "1");
  TCLAP::ValueArg<uint64_t> seed("", "seed", "Goes before the script's seed.",
                                 false, 0, "NUMBER", cmd);
  TCLAP::ValueArg<uint64_t> seeds("", "seeds",
                                  "Runs each script with seeds 1 to this.",
                                  false, 1, "NUMBER", cmd);
  TCLAP::SwitchArg trace("t", "trace", "Prints the trace.", cmd);
  TCLAP::UnlabeledMultiArg<std::string> files("files", "Lua scripts.", true,
                                              "FILE", cmd);
  cmd.parse(argc, argv);
  bool failed = false;
  for (const auto& file : files.getValue()) {
    for (uint64_t n = 1; n <= seeds.getValue(); ++n) {
      std::optional<uint64_t> given;
      if (seed.isSet()) given = seed.getValue();
      if (seeds.isSet()) given = n;
      const auto result = hibiscuspick::scenario::RunScenario(file, given);
      if (trace.getValue()) {
        for (const auto& it : result.trace) std::cout << it << "\n";
      }
      for (const auto& it : result.failures) {
        std::cout << file << " (seed " << given.value_or(0) << "): " << it
                  << "\n";
        failed = true;
      }
    }
  }
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
