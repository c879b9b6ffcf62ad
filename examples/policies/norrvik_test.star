expect("a check waits", admit(request(client = "payrun"), pool()), wait())
expect("a draft does not", admit(request(client = "staff"), pool()), run())
expect_less("a cached text wins", weigh(request(prompt_tokens = 13000), pair(read = 0.02)), weigh(request(prompt_tokens = 13000), pair(read = 0.3)))
expect("short prompts do not care", weigh(request(prompt_tokens = 300), pair(read = 0.3)), 0.0)
