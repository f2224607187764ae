#include "callers/ResponseStream.h"

namespace lagoontiller::callers {

ResponseStream::ResponseStream(Target target)
    : target(std::move(target))
{
}

void ResponseStream::respond(int status, const http::Headers& headers, std::string body)
{
    const std::lock_guard lock(this->mutex);
    if (this->ended || this->streaming)
        return;
    this->ended = true;
    this->target.respond(status, headers, std::move(body));
}

void ResponseStream::begin(int status, const http::Headers& headers)
{
    const std::lock_guard lock(this->mutex);
    if (this->ended || this->streaming)
        return;
    this->streaming = true;
    this->target.begin(status, headers);
}

void ResponseStream::data(std::string bytes)
{
    const std::lock_guard lock(this->mutex);
    if (!this->ended && this->streaming)
        this->target.data(std::move(bytes));
}

void ResponseStream::end(bool complete)
{
    const std::lock_guard lock(this->mutex);
    if (this->ended || !this->streaming)
        return;
    this->ended = true;
    this->target.end(complete);
}

} // namespace lagoontiller::callers
