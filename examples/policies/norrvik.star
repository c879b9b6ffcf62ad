# Minimizes wasted prefill: agreement texts are long and shared, so a prompt goes to an
# engine that has its text cached, and a check may be late rather than be prefilled twice.

def admit(request, pool):
    # A check of a pay run waits instead of being refused: a late answer is better than none.
    if request.client == "payrun":
        return wait()
    return run()

def weigh(request, pair):
    # Prefilling uncached text costs twice: the time now, and the cached text that it evicts.
    if request.prompt_tokens >= 4000:
        return pair.read
    return 0.0
