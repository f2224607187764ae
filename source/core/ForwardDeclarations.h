#pragma once

namespace lagoontiller::core {
class Error;
class Logger;
class MetricRegistry;
class ProgramKey;
enum class ResultCode : int;
enum class RunState : int;
} // namespace lagoontiller::core
