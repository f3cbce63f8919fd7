// Runs a load plan against daemons.
#pragma once

#include "hibiscuspick/cli/load_plan.h"
#include "hibiscuspick/cli/load_report.h"

namespace hibiscuspick::cli {

// Sends all queries of the plan, or those due until StopLoad, and waits for
// their answers.
LoadReport RunLoad(const LoadPlan& plan);

// Ends a running load early; only sets a flag, so that a signal handler may
// call it.
void StopLoad();

}  // namespace hibiscuspick::cli
