Feature: A keeper admits, schedules and relays the requests of an endpoint

  Scenario: Requests with the same identifier share one run
    Given a keeper in front of 1 engine
    When 3 readers request the same rollout from tokens 0, 0 and 10
    Then each reader receives all tokens from its own offset
    And the engine has run 1 request

  Scenario: A reader that needs tokens from before the buffered ones receives them
    Given a keeper in front of 1 engine
    When one reader requests a rollout from token 10 and then another from token 0
    Then each reader receives all tokens from its own offset
    And the engine has run 1 request

  Scenario: A rollout continues without a reader and is held until released
    Given a keeper in front of 1 engine
    When the reader of a rollout disconnects after 3 tokens
    Then the keeper eventually holds the finished answer
    And a second reader receives the whole answer without another run
    And the keeper holds nothing after the answer is released

  Scenario: A caller's request without a reader is cancelled after a timeout
    Given a keeper in front of 1 engine
    And the engine generates a token every 50 ms
    When the reader of a caller's request disconnects after 3 tokens
    Then the keeper cancels the request at the engine

  Scenario: A newer attempt runs again
    Given a keeper in front of 1 engine
    When a rollout is requested as attempt 0 and then as attempt 1
    Then the engine has run 2 request

  Scenario Outline: A loaded version older than the request allows is refused
    Given a keeper in front of 1 engine
    And the engine has version <loaded> loaded
    When a caller requests 20 tokens of version <oldest> or newer from the keeper
    Then the keeper's answer is <result>

    Examples:
      | loaded | oldest | result        |
      | 3      | 0      | whole         |
      | 3      | 3      | whole         |
      | 3      | 4      | stale_version |

  Scenario: A token of a version older than allowed is never relayed
    Given a keeper in front of 1 engine
    And the engine answers with version 1 though it has loaded version 2
    When a caller requests 20 tokens of version 2 or newer from the keeper
    Then the keeper's error is stale_version with outcome unknown
    And no token is relayed to the caller

  Scenario: A leaving engine gets no new work and finishes its streams
    Given a keeper in front of 1 engine
    And the engine generates a token every 50 ms
    When the engine reports that it is leaving during a stream of 40 tokens
    Then the keeper reports the engine as leaving
    And a new request is refused as not run
    And the stream in flight ends with all its tokens
    And the engine gets work again once it reports that it is staying

  Scenario: A draining keeper finishes the requests in flight
    Given a keeper in front of 1 engine
    When the keeper drains while 6 requests wait and run
    Then all 6 answers are whole
    And a new request is refused with not_ready

  Scenario: A failing engine is ejected, probed and readmitted gradually
    Given a keeper in front of 1 engine
    When the engine is down for 3 requests and then restarts
    Then the engine is ejected and readmitted with a limit of one request

  Scenario: A leaving engine is not probed after an ejection
    Given a keeper in front of 1 engine
    When the engine is ejected, leaves and then restarts
    Then the engine gets no probe

  Scenario: A slow engine is ejected and readmitted after a probe
    Given a keeper in front of 3 engines
    And engine e1 is 20 times slower than the others
    When callers keep all engines busy
    Then engine e1 is ejected and the others are not
    And engine e1 gets work again once it is as fast as the others

  Scenario Outline: A request that cannot be served in time is refused at once
    Given a keeper in front of 1 engine
    And the engine generates a token every 20 ms
    When <waiting> rollouts of 50 tokens are sent and then one with <left> s left
    Then the last rollout is <result>

    Examples:
      | waiting | left | result     |
      | 40      | 2    | overloaded |
      | 40      | 60   | admitted   |
      | 0       | 4    | admitted   |

  Scenario Outline: Teams share an engine in proportion to their weights
    Given a fair queue with teams <teams>
    When every team keeps requests of <lengths> tokens waiting
    Then each team's share of the tokens is within 2 percent of its weight

    Examples:
      | teams        | lengths                  |
      | a:1 b:1      | fixed                    |
      | a:3 b:1      | fixed                    |
      | a:1 b:2 c:5  | heavy-tailed             |
      | a:1 b:1 c:1  | expected, but cut short  |

  Scenario: An idle team earns no credit for later
    Given a fair queue with teams a:1 b:1
    When team b joins after team a has had 10000 tokens
    Then both teams receive equal shares from then on

  Scenario: A team that joins does not wait for refunds of overcharged requests
    Given a fair queue with teams a:1 b:1
    When team b joins while 6 requests of team a are charged 4400 tokens and take 50
    Then each team gets at least 16 of the next 40 requests

  Scenario: Callers have priority over waiting rollouts
    Given a keeper in front of 1 engine
    And the engine generates a token every 20 ms
    When 12 rollouts fill the engine before a caller's request arrives
    Then the caller is served before any waiting rollout starts

  Scenario: A full queue evicts requests of the team with the longest queue
    Given a keeper in front of 1 engine with a queue of 6
    And the engine generates a token every 20 ms
    When team flood sends 12 rollouts and then team small sends 1
    Then the rollout of team small is served
    And the refused rollouts were not run and got jittered retry delays

  Scenario Outline: Cache events correct the estimate but never make it certain
    Given a keeper's estimate of an engine's prefix cache
    When a prompt of 2 blocks was <history>
    Then the estimated cached share is from <least> to <most>

    Examples:
      | history                        | least | most |
      | never sent                     | 0.0   | 0.0  |
      | sent                           | 0.8   | 0.95 |
      | sent and both blocks evicted   | 0.1   | 0.3  |
      | sent and one block evicted     | 0.4   | 0.7  |
      | sent, evicted and sent again   | 0.8   | 0.95 |
      | sent, evicted and stored       | 0.5   | 0.8  |
      | sent and the engine restarted  | 0.0   | 0.0  |
      | sent and others evicted        | 0.8   | 0.95 |
