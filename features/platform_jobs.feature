Feature: Batch jobs on the platform's store, with real daemon processes

  Scenario: A job completes, and each result has the same position at every daemon
    Given a platform with 2 engines and 3 daemons
    When job "j1" with 4 groups of 4 is submitted at edge-1
    Then job "j1" completes at edge-2
    And job "j1" has the same results at every daemon
    And every result of "j1" is its item's complete output

  Scenario: A repeated submission is accepted once
    Given a platform with 2 engines and 2 daemons
    When job "j1" with 2 groups of 4 is submitted at edge-1
    And job "j1" with 2 groups of 4 is submitted at edge-2
    Then job "j1" completes at edge-1
    And no item of "j1" ran from its start more than once

  Scenario: All daemons are killed in the middle of a job
    Given a platform with 2 engines and 3 daemons
    And the engines send an event every 60 ms
    When job "j1" with 6 groups of 4 is submitted at edge-1
    And 4 results of "j1" have been read at edge-2
    And all daemons are killed and started again
    Then job "j1" completes at edge-3
    And the results of "j1" that were read have kept their positions
    And every result of "j1" is its item's complete output

  Scenario: Long items resume from a checkpoint after all daemons were killed
    Given a platform with 2 engines of 100000 tokens and 2 daemons
    And the engines send an event every 100 ms
    When job "j1" with 1 groups of 4 is submitted at edge-1
    And an item of "j1" has sent 25 events
    And all daemons are killed and started again
    Then job "j1" completes at edge-2
    And at least 4 items of "j1" were resumed from a later event
    And every result of "j1" is its item's complete output

  Scenario: The daemon that runs the jobs is killed
    Given a platform with 2 engines and 3 daemons
    And the engines send an event every 60 ms
    When job "j1" with 6 groups of 4 is submitted at edge-1
    And 4 results of "j1" have been read at edge-2
    And the daemon that runs the jobs is killed
    Then another daemon runs the jobs
    And job "j1" completes at a running daemon
    And the results of "j1" that were read have kept their positions

  Scenario: The daemon that runs the jobs is asked to stop
    Given a platform with 2 engines and 3 daemons
    And the engines send an event every 200 ms
    When job "j1" with 2 groups of 4 is submitted at edge-1
    And an item of "j1" has sent 2 events
    And the daemon that runs the jobs is asked to stop
    Then job "j1" completes at a running daemon
    And at least 4 items of "j1" were resumed from a later event
    And every result of "j1" is its item's complete output

  Scenario Outline: The store misbehaves while a job runs
    Given a platform with 2 engines and 2 daemons
    And the engines send an event every 30 ms
    When job "j1" with 3 groups of 4 is submitted at edge-1
    And the platform's store <fault>
    Then job "j1" completes at edge-2
    And job "j1" has the same results at every daemon
    And every result of "j1" is its item's complete output

    Examples:
      | fault                                |
      | loses the answers of 4 writes        |
      | carries 2 writes out late            |
      | is silent for 2 s                    |
      | is busy for 2 s                      |
      | forgets its history                  |
      | refuses the daemon that runs the jobs |

  Scenario: The store serves one daemon only
    Given a platform with 2 engines and 4 daemons
    When the platform's store refuses all daemons but edge-2
    And job "j1" with 2 groups of 4 is submitted at edge-1
    And job "j2" with 2 groups of 4 is submitted at edge-3
    And job "j3" with 2 groups of 4 is submitted at edge-4
    Then no submission took longer than 1500 ms
    And job "j1" completes at edge-4
    And job "j2" completes at edge-1
    And job "j3" completes at edge-3

  Scenario: A repeated submission is confirmed while the store is unavailable
    Given a platform with 1 engines and 1 daemons
    When job "j1" with 1 groups of 2 is submitted at edge-1
    And the platform's store goes silent
    And job "j1" with 1 groups of 2 is submitted at edge-1
    Then no submission took longer than 1500 ms

  Scenario Outline: An engine misbehaves while a job runs
    Given a platform with 2 engines and 2 daemons
    When replica engine-1 <fault>
    And job "j1" with 3 groups of 4 is submitted at edge-1
    Then job "j1" completes at edge-2
    And every result of "j1" is its item's complete output

    Examples:
      | fault                                   |
      | breaks each stream off after 2 events   |
      | goes silent                             |
      | answers 1 request with a failure        |
      | answers 2 requests under another's name |
      | refuses everything but one run          |

  Scenario: Runs are not moved back and forth while the fast engine has no memory left
    Given a platform with 2 engines of 60 tokens and 1 daemons
    And the engines send an event every 60 ms
    When replica engine-1 is 6 times slower
    And job "j1" with 3 groups of 4 is submitted at edge-1
    Then job "j1" completes at edge-1
    And the log of edge-1 has at most 24 lines about moved runs

  Scenario: An engine with older weights than it lists loses its items at once
    Given a platform with 2 engines and 2 daemons
    And the engines send an event every 60 ms
    And replica engine-1 lists version 2 and engine-2 serves it, but engine-1 does not
    When job "j1" with 3 groups of 4 and oldest version 2 is submitted at edge-1
    Then job "j1" completes at edge-2
    And no result of "j1" names a version below 2
    And no item ran to its end at replica engine-1

  Scenario: Runs are not moved back and forth between slow engines if no fast one has the version
    Given a platform with 5 engines of 100000 tokens and 1 daemons
    And the engines send an event every 40 ms
    And replicas engine-1 and engine-2 serve version 2 and are 6 times slower
    When job "j2" with 1 groups of 4 and oldest version 2 is submitted at edge-1
    And job "j1" with 6 groups of 4 is submitted at edge-1
    Then job "j2" completes at edge-1
    And no run of "j2" was moved more than once
    And job "j1" completes at edge-1

  Scenario: An item that an engine rejects is listed as lost after one attempt
    Given a platform with 1 engines and 1 daemons
    When replica engine-1 rejects item "j1-0-1"
    And job "j1" with 1 groups of 4 is submitted at edge-1
    Then job "j1" completes at edge-1
    And item "j1-0-1" of "j1" is lost
    And item "j1-0-1" reached the engines 1 times

  Scenario: An item that fails at every attempt is listed as lost
    Given a platform with 1 engines and 1 daemons
    When replica engine-1 answers 2 requests with a failure
    And job "j1" with 1 groups of 1 is submitted at edge-1
    Then job "j1" completes at edge-1
    And item "j1-0-0" of "j1" is lost

  Scenario: An ended job sends no more items
    Given a platform with 1 engines and 2 daemons
    And the engines send an event every 200 ms
    When job "j1" with 4 groups of 4 is submitted at edge-1
    And an item of "j1" has sent 1 events
    And job "j1" is ended at edge-2
    Then no item of "j1" reaches an engine any more
    And ending "j1" at edge-1 is confirmed again

  Scenario: Bodies are readable until the results of their items are listed
    Given a platform with 1 engines and 2 daemons
    And the engines send an event every 300 ms
    When job "j1" with 2 groups of 4 is submitted at edge-1
    Then the body of item "j1-1-3" of "j1" is read at edge-2

  Scenario: Bodies are readable after many later jobs
    Given a platform with 1 engines and 1 daemons
    And the engines send an event every 300 ms
    When 9 jobs "a" with 2 groups of 2 are submitted at edge-1
    Then the body of item "a1-1-1" of "a1" is read at edge-1

  Scenario: Items that are submitted again in a later job resume from their last event
    Given a platform with 1 engines and 1 daemons
    And the engines send an event every 200 ms
    When job "j1" with 1 groups of 2 is submitted at edge-1
    And an item of "j1" has sent 3 events
    And job "j1" is ended at edge-1
    And the items of "j1" are submitted again as job "j2"
    Then job "j2" completes at edge-1
    And at least 2 items of "j1" were resumed from a later event

  Scenario Outline: An invalid job is refused
    Given a platform with 1 engines and 1 daemons
    When a submission with <fault> arrives at edge-1
    Then it is answered with 400 and code invalid_request
    And the store has no object of kind jobs

    Examples:
      | fault                 |
      | no JSON               |
      | no items              |
      | an item twice         |
      | a body without base64 |
      | a path with a space   |
      | a header with a break |
      | no identifier         |

  Scenario: An unknown job is reported as not found only if the store answers
    Given a platform with 1 engines and 1 daemons
    Then reading job "none" at edge-1 is answered with 404
    When the platform's store goes silent
    Then reading job "none" at edge-1 is answered with 503
    And submitting job "j9" at edge-1 is not answered with a success
