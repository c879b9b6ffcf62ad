# Waste first: agreement texts are long and shared, so a prompt goes where its text
# is cached, and a check may be late rather than be read twice.

def admit(request, pool):
    # A pay run's check waits instead of being refused: late is better than not at all.
    if request.client == "payrun":
        return wait()
    return run()

def weigh(request, pair):
    # Reading what is not cached costs twice: now, and what it pushes out.
    if request.prompt_tokens >= 4000:
        return pair.read
    return 0.0
