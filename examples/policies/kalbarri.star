# Goodput first: certification windows are fixed, so a log that would be late is
# worth nothing, and a short question must not wait behind logs.

LONG = 8000  # Prompt tokens from which a log blocks an engine noticeably.

def admit(request, pool):
    # Refuses long logs while more than 20 requests wait, except those of the certification client.
    if request.prompt_tokens >= LONG and pool.waiting > 20 and request.client != "certification":
        return refuse("long logs are taken when fewer than 20 requests wait")
    return run()

def weigh(request, pair):
    # A short question goes to the engine with the shortest queue, regardless of what is cached where.
    if request.prompt_tokens < 500:
        return 0.5 * pair.queue
    return 0.0
