#include "standins/Loop.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace lagoontiller::standins {

class Loop::Implementation {
public:
    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work { this->context.get_executor() };
};

Loop::Loop()
    : implementation(std::make_unique<Implementation>())
{
}

Loop::~Loop() = default;

void Loop::post(std::function<void()> task)
{
    asio::post(this->implementation->context, std::move(task));
}

void Loop::after(core::Duration delay, std::function<void()> task)
{
    if (delay.count() <= 0)
        return this->post(std::move(task));
    auto timer = std::make_shared<asio::steady_timer>(this->implementation->context, delay);
    timer->async_wait([timer, task = std::move(task)](const asio::error_code& error) {
        if (!error)
            task();
    });
}

void Loop::run()
{
    this->implementation->context.run();
}

void Loop::stop()
{
    this->implementation->context.stop();
}

asio::io_context& Loop::context() noexcept
{
    return this->implementation->context;
}

} // namespace lagoontiller::standins
