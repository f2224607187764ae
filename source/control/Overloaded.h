#pragma once

namespace lagoontiller::control {

/// \brief Combines lambdas into one visitor for std::visit.
template <typename... Functions> struct Overloaded : Functions... {
    using Functions::operator()...;
};
template <typename... Functions> Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace lagoontiller::control
