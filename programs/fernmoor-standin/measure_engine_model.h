/// @file
/// Cost of the engine model itself: `fernmoor-standin measure`.
#pragma once

namespace fernmoor::standin {

/// Runs engines on virtual time and prints what a request and a call of advance() cost.
/// @return exit code.
int measureEngineModel();

}  // namespace fernmoor::standin
