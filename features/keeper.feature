Feature: The keeper is the one gate before an endpoint

  Scenario: The same identifier joins a request in flight and runs once
    Given a keeper before 1 engine
    When 3 readers ask for one rollout request, from tokens 0, 0 and 10
    Then each reader got all tokens from its own offset
    And the engine has run 1 request

  Scenario: A reader that needs earlier tokens than are kept gets them
    Given a keeper before 1 engine
    When a reader asks from token 10 and another of the same request from token 0
    Then each reader got all tokens from its own offset
    And the engine has run 1 request

  Scenario: A rollout goes on without its reader and is held until released
    Given a keeper before 1 engine
    When the reader of a rollout request leaves after 3 tokens
    Then the keeper comes to hold the finished answer
    And a second reader collects it whole without another run
    And after its release the keeper holds nothing

  Scenario: A caller's request without a reader is cancelled after a grace time
    Given a keeper before 1 engine
    And the engine generates a token every 50 ms
    When the reader of a caller's request leaves after 3 tokens
    Then the engine is told to cancel the request

  Scenario: A newer attempt is made anew
    Given a keeper before 1 engine
    When a rollout request is asked for as attempts 0 and 1
    Then the engine has run 2 request

  Scenario Outline: Versions older than the request allows do not answer
    Given a keeper before 1 engine
    And the engine has version <loaded> loaded
    When a caller asks the keeper for 20 tokens of version <oldest> or newer
    Then the keeper's answer is <result>

    Examples:
      | loaded | oldest | result        |
      | 3      | 0      | whole         |
      | 3      | 3      | whole         |
      | 3      | 4      | stale_version |

  Scenario: A token of a version older than allowed is never passed on
    Given a keeper before 1 engine
    And the engine answers with version 1 though it has loaded version 2
    When a caller asks the keeper for 20 tokens of version 2 or newer
    Then the keeper's error is stale_version with outcome unknown
    And no token was passed on

  Scenario: A leaving engine gets no new work and ends its streams
    Given a keeper before 1 engine
    And the engine generates a token every 50 ms
    When the engine says that it leaves in the middle of a stream of 40 tokens
    Then the sign is passed on
    And a new request is refused as not run
    And the stream that was in flight ended whole
    And the engine gets work again once it says that it stays

  Scenario: A keeper that stops finishes what is in flight
    Given a keeper before 1 engine
    When the keeper drains while 6 requests wait and run
    Then all 6 answers are whole
    And a new request is refused with not_ready

  Scenario: A failing engine is ejected, probed and given work slowly
    Given a keeper before 1 engine
    When the engine is gone for 3 requests and then comes back
    Then the engine is ejected and later gets work again, from one request on

  Scenario: A leaving engine is not probed after an ejection
    Given a keeper before 1 engine
    When the engine is ejected, leaves and comes back
    Then the engine gets no probe

  Scenario: A slow engine is ejected and probed back in
    Given a keeper before 3 engines
    And engine e1 is 20 times slower than the others
    When all engines are kept busy by callers
    Then engine e1 is ejected and the others are not
    And engine e1 gets work again once it is fast

  Scenario Outline: A request that cannot be served in time is refused at once
    Given a keeper before 1 engine
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
    When it is worked off with requests of <lengths> tokens
    Then the teams' shares of tokens differ from their weights by at most 2 percent

    Examples:
      | teams        | lengths                  |
      | a:1 b:1      | fixed                    |
      | a:3 b:1      | fixed                    |
      | a:1 b:2 c:5  | heavy-tailed             |
      | a:1 b:1 c:1  | expected, but cut short  |

  Scenario: An idle team's share is lent and not owed back
    Given a fair queue with teams a:1 b:1
    When team b joins after team a has had 10000 tokens
    Then from then on both get the same

  Scenario: A team that joins does not wait for what others were charged too much
    Given a fair queue with teams a:1 b:1
    When team b joins while 6 requests of team a are charged 4400 tokens and take 50
    Then of the next 40 requests at least 16 are of each team

  Scenario: Callers go before waiting rollouts
    Given a keeper before 1 engine
    And the engine generates a token every 20 ms
    When 12 rollouts fill the engine and then a caller asks
    Then the caller is answered before any waiting rollout is started

  Scenario: A full queue gives way to the team with the shorter one
    Given a keeper before 1 engine with a queue of 6
    And the engine generates a token every 20 ms
    When team flood sends 12 rollouts and then team small sends 1
    Then the rollout of team small is served
    And the refused ones were not run and come back at spread times

  Scenario Outline: Cache events correct the estimate and never decide alone
    Given an engine's cache as the keeper estimates it
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
