#pragma once

#include "core/Time.h"

#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace lagoontiller::standins {

/// \brief Event loop of one thread. Everything a stand-in owns is accessed from its loop only.
class Loop {
public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    void post(std::function<void()> task);
    /// \brief Runs `task` on the loop after `delay`; at once when it is not positive.
    void after(core::Duration delay, std::function<void()> task);
    /// \brief Runs tasks until stop() is called. Call from one thread.
    void run();
    void stop();
    [[nodiscard]] asio::io_context& context() noexcept;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace lagoontiller::standins
