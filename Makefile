# The front door: every task of the project starts here.
.PHONY: run test build check generate guards bench fleet slopes fuzz clean

build: ## Build both programs into bin/.
	go build -o bin/ ./cmd/stoatrampd ./cmd/stoatramp

run: build ## Run a box before stand-ins on loopback.
	./bin/stoatrampd demo

test: ## Run all tests with the race detector.
	go test -race ./...

check: ## What CI checks beside the tests.
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...
	go tool staticcheck ./...

generate: ## Make the connect code anew; needs protoc. The result is committed.
	go build -o bin/ google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
	PATH="$(CURDIR)/bin:$$PATH" protoc -I proto --go_out=. --go_opt=module=github.com/stoatramp/stoatramp \
		--connect-go_out=. --connect-go_opt=module=github.com/stoatramp/stoatramp proto/stoatramp/v1/operator.proto proto/stoatramp/v1/peer.proto

guards: ## Take each guard of a promise out and show that its test fails.
	./scripts/guards.sh

bench: ## Compare the decisions with baselines and a bound, in virtual time.
	go run ./cmd/bench compare

fleet: ## Run 8 boxes under load and fail them.
	./scripts/fleet.sh

slopes: ## Reprint every figure of docs/CAPACITY.md.
	./scripts/slopes.sh

fuzz: ## Look for event orders that break a promise.
	go test ./internal/decide -run xxx -fuzz FuzzPromises -fuzztime 60s

clean:
	rm -rf bin
