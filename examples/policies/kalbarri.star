# Goodput first: certification windows are fixed, so a log that would be late is
# worth nothing, and a short question must not wait behind logs.

LONG = 8000  # Prompt tokens from which a log blocks an engine noticeably.

def admit(request, pool):
    # A long log is refused while others wait, unless the window's own client sent it.
    if request.prompt_tokens >= LONG and pool.waiting > 20 and request.client != "certification":
        return refuse("long logs are taken when fewer than 20 requests wait")
    return run()

def weigh(request, pair):
    # A question goes to the engine with the shortest queue, whatever is cached.
    if request.prompt_tokens < 500:
        return 0.5 * pair.queue
    return 0.0
