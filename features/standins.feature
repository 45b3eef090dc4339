Feature: The stand-ins behave and fail like the systems around greengagetack

  Scenario Outline: The platform stand-in writes only at the version named
    Given the platform stand-in
    And an object of the stand-in at version 2
    When the stand-in gets a write with "<condition>"
    Then the stand-in answers <status>
    And the object of the stand-in is at version <version>

    Examples:
      | condition          | status | version |
      | If-Match: "2"      | 200    | 3       |
      | If-Match: "1"      | 412    | 2       |
      | If-Match: "3"      | 412    | 2       |
      | If-None-Match: *   | 412    | 2       |
      | X-Nothing: "named" | 428    | 2       |

  Scenario: A value over one megabyte is refused by the platform stand-in
    Given the platform stand-in
    When the stand-in gets a value of 1000001 bytes
    Then the stand-in answers 413

  Scenario Outline: The platform stand-in has outages of two kinds
    Given the platform stand-in
    And the faults {"outage": "<kind>"} of the platform stand-in
    Then a call to the platform stand-in <result>

    Examples:
      | kind   | result         |
      | refuse | is refused     |
      | hang   | gets no answer |

  Scenario: A write of the stand-in takes effect although its answer is lost
    Given the platform stand-in
    And the faults {"lose_write_answers": 1.0} of the platform stand-in
    When the stand-in loses the answer to a write with change "change-7"
    Then the object of the stand-in has the change "change-7"

  Scenario: A watch of the stand-in returns the change under its prefix
    Given the platform stand-in
    When a watch of the stand-in waits for "teams/a" while "teams/b" and "teams/a" change
    Then the watch of the stand-in shows only "teams/a"

  Scenario: A waiting watch counts as a call of the stand-in
    Given the platform stand-in with "--reads-per-s 0.1"
    When a watch of the stand-in waits
    Then a call to the platform stand-in is refused by rate

  Scenario: The VM list of the stand-in lags
    Given the platform stand-in with "--vm-lag-s 1"
    When the VM list of the stand-in changes from "a" to "b"
    Then the VM list of the stand-in shows "a" and some time later "b"

  Scenario: The weight store of the stand-in limits its rate
    Given the platform stand-in with "--weights-per-s 0.1"
    Then of two fetches of weights from the stand-in the second is refused

  Scenario Outline: A resumed stream of the stand-in generates nothing twice
    Given the engine stand-in with "--decode-tokens-per-s 400"
    When a client leaves a stream of 200 tokens after <left> and resumes from <from>
    Then the resumed stream starts at token <from> and the text is whole
    And the engine stand-in generated 200 tokens in all
    And the engine stand-in was sent the request 2 times

    Examples:
      | left | from |
      | 1    | 1    |
      | 40   | 40   |
      | 40   | 13   |
      | 200  | 199  |

  Scenario: An unknown request starts anew at the engine stand-in
    Given the engine stand-in
    When a client resumes the unknown request "lost" from 9
    Then the resumed stream starts at token 0 and the text is whole

  Scenario Outline: Fencing numbers at the engine stand-in
    Given the engine stand-in with "--fencing <fencing> --activate-s 0"
    When the engine stand-in gets version 2 with number 5 and version 3 with number 4
    Then the engine stand-in answers <status> and serves version <version>

    Examples:
      | fencing | status | version |
      | checked | 409    | 2       |
      | ignored | 200    | 3       |

  Scenario: A failed activation leaves the stand-in's version
    Given the engine stand-in with "--activate-s 0"
    And the faults {"fail_activate": 1} of the engine stand-in
    When the engine stand-in gets version 2 with number 1
    Then the engine stand-in answers 500 and serves version 1
    When the engine stand-in gets version 2 with number 1
    Then the engine stand-in answers 200 and serves version 2

  Scenario: A swap in mid-stream shows two versions
    Given the engine stand-in with "--decode-tokens-per-s 200 --activate-s 0.05"
    When the version changes to 2 in the middle of a stream of 200 tokens
    Then the stream of the stand-in names the versions 1 and 2 in this order

  Scenario: The engine stand-in runs higher priorities first
    Given the engine stand-in with "--slots 1 --decode-tokens-per-s 200"
    When requests wait at the stand-in with the priorities 1, 3, 2 and 3
    Then the stand-in ran the priorities 3, 3, 2 and 1 in this order

  Scenario: A cancelled request frees its slot at the stand-in
    Given the engine stand-in with "--slots 1"
    When a request of 100000 tokens holds the slot of the stand-in and is cancelled
    Then the next request of the stand-in runs

  Scenario Outline: The engine stand-in refuses before running
    Given the engine stand-in
    And the faults <faults> of the engine stand-in
    Then a request to the engine stand-in is refused and was not run
    And the health of the engine stand-in is <health>

    Examples:
      | faults            | health |
      | {"refuse": true}  | 200    |
      | {"leaving": true} | 503    |

  Scenario: Streams of the stand-in go silent for good while new ones work
    Given the engine stand-in with "--decode-tokens-per-s 400"
    When a stream of the stand-in goes silent
    Then a resumed stream of the stand-in is whole and the silent one stays silent

  Scenario: The engine stand-in crashes after a number of tokens
    Given the engine stand-in with "--decode-tokens-per-s 400"
    And the faults {"crash_after_tokens": 30} of the engine stand-in
    Then a stream of 200 tokens breaks off and the engine stand-in has ended

  Scenario: A stopped request moves to another engine stand-in with its KV cache
    Given the engine stand-in with "--decode-tokens-per-s 100"
    And a second engine stand-in
    When a request of 100 tokens is stopped at the first and moved to the second
    Then the two stand-ins generated 100 tokens in all and the text is whole

  Scenario: A repeated prefix is cached by the stand-in until others evict it
    Given the engine stand-in with "--cache-blocks 8 --cache-event-lag-s 0"
    Then prompts of the stand-in find these cached tokens
      | prompt  | words | cached |
      | repairs | 64    | 0      |
      | repairs | 64    | 64     |
      | trips   | 128   | 0      |
      | repairs | 64    | 0      |

  Scenario: Cache events of the stand-in come late and with gaps
    Given the engine stand-in with "--cache-event-lag-s 1 --cache-event-gap-share 0.5 --seed 7"
    When a prompt of 640 words is used at the stand-in
    Then its cache events show later and some are missing

  Scenario Outline: Calls to the booking stand-in and its log
    Given the service stand-in
    And the faults <faults> of the service stand-in
    When a booking is sent to the stand-in
    Then the booking stand-in <result> and ran it <runs> times

    Examples:
      | faults                | result         | runs |
      | {}                    | answers 201    | 1    |
      | {"refuse": true}      | says not run   | 0    |
      | {"lose_answers": 1.0} | gives no answer | 1   |

  Scenario: The scorer stand-in gives equal samples equal scores
    Given the scorer stand-in
    Then two equal samples and another get two different scores from the stand-in

  Scenario Outline: The relay cuts, freezes and delays connections
    Given a relay to an echo server with <latency_s> s latency
    When the relay is told to <fault>
    Then an open connection <open> and a new one echoes after <latency_s> s

    Examples:
      | latency_s | fault        | open         |
      | 0         | cut          | ends         |
      | 0         | freeze       | stays silent |
      | 0.1       | do nothing   | echoes       |

  Scenario: A group of processes ends all that it started
    Given the engine stand-in
    And a second engine stand-in
    When the first is paused and the group is closed
    Then no process of the group is left

  Scenario: A stand-in ends with code 0 when it is asked to
    Given the engine stand-in
    When the stand-in is terminated with a stream open
    Then it ended with code 0
