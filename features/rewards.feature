Feature: Outputs of items are scored by reward calls

  Scenario: Each result carries the score of its own reward call
    Given a platform with 2 engines and 2 daemons
    And 2 replicas score outputs
    When job "j1" with 3 groups of 4 and rewards is submitted at edge-1
    Then job "j1" completes at edge-2
    And every result of "j1" is its item's complete output
    And every completed result of "j1" has the score of its own reward call
    And no reward call of "j1" was sent before its item's last event
    And job "j1" has the same results at every daemon

  Scenario Outline: A scorer misbehaves while items finish
    Given a platform with 2 engines and 2 daemons
    And 2 replicas score outputs
    When replica scorer-1 <fault>
    And job "j1" with 3 groups of 4 and rewards is submitted at edge-1
    Then job "j1" completes at edge-2
    And every result of "j1" is its item's complete output
    And every completed result of "j1" has the score of its own reward call
    And no item of "j1" ran from its start more than once

    Examples:
      | fault                                   |
      | goes silent                             |
      | refuses everything                      |
      | has another identifier now              |
      | answers 1 request with a failure        |
      | answers 2 requests under another's name |
      | is 20 times slower                      |

  Scenario: An item whose reward call always fails is lost, the others are not
    Given a platform with 2 engines and 2 daemons
    And 2 replicas score outputs
    And the reward call of item "j1-0-1" always fails
    When job "j1" with 2 groups of 4 and rewards is submitted at edge-1
    Then job "j1" completes at edge-2
    And item "j1-0-1" of "j1" is lost
    And item "j1-0-1" reached the engines 1 times
    And the reward call of item "j1-0-1" was sent at most 2 times
    And every completed result of "j1" has the score of its own reward call

  Scenario: Outputs that wait for their scores outlive the daemon that runs the jobs
    Given a platform with 3 engines and 3 daemons
    And 2 replicas score outputs
    And the scorers take 2500 ms
    When job "j1" with 2 groups of 4 and rewards is submitted at edge-1
    And all items of "j1" have been generated
    And the checkpoint has the outputs of all items of "j1"
    And the daemon that runs the jobs is killed
    And the scorers take 20 ms
    Then another daemon runs the jobs
    And job "j1" completes at a running daemon
    And every completed result of "j1" has the score of its own reward call
    And no item of "j1" ran from its start more than once

  Scenario: Outputs wait for their scores until a replica can score them
    Given a platform with 2 engines and 1 daemons
    When job "j1" with 1 groups of 4 and rewards is submitted at edge-1
    And all items of "j1" have been generated
    And replicas that score outputs are added: 1
    Then job "j1" completes at edge-1
    And every completed result of "j1" has the score of its own reward call
    And no item of "j1" ran from its start more than once

  Scenario Outline: A job with an invalid scorer is refused
    Given a platform with 1 engines and 1 daemons
    When a submission with <fault> arrives at edge-1
    Then it is answered with 400 and code invalid_request
    And the reason names <field>
    And the store has no object of kind jobs

    Examples:
      | fault                          | field     |
      | a scorer without id            | scorer    |
      | a scorer without host          | host      |
      | a scorer without path          | path      |
      | a scorer body without base64   | base64    |
      | a scorer path with a space     | path      |
      | a scorer identifier twice      | twice     |
      | a scorer that is text          | scorer    |

  Scenario Outline: A reward call goes to the replica that should answer soonest
    Given reward candidates <candidates>
    Then with <avoided> avoided, replica <chosen> is chosen

    Examples:
      | candidates              | avoided | chosen |
      | a 1/4, b 0/4            | none    | b      |
      | a 4/4, b 3/4            | none    | b      |
      | a 4/4, b 4/4            | none    | none   |
      | a 0/4/480, b 2/4/120    | none    | b      |
      | a 0/4, b 3/4            | a       | b      |
      | a 0/4, b 4/4            | a       | a      |
      | a 0/1                   | none    | a      |

  Scenario Outline: The calls in flight follow what a replica accepts
    When a replica of <slots> slots <history> reward calls
    Then at most <limit> reward calls are in flight at its <slots> slots

    Examples:
      | slots | history    | limit |
      | 6     | answers 0  | 4     |
      | 6     | answers 30 | 5     |
      | 6     | refuses 1  | 2     |
      | 6     | refuses 9  | 1     |
      | 1     | answers 5  | 1     |

  Scenario: Attempts and pauses grow longer
    Then a reward call with objective 533 ms times out in 799, 1599, 2000 ms
    And a reward call with objective 100 ms times out in 400, 800, 1600 ms
    And a failed reward call is repeated after 100, 200, 400, 800, 1000 ms

  Scenario Outline: A burst of reward calls does not delay callers
    When <items> items finish at once beside <calls> calls a second at <replicas>
    Then all are scored within <limit> s
    And no caller is refused and each is answered within 192 ms

    Examples:
      | items | calls | replicas            | limit |
      | 64    | 3     | sound, sound, sound | 1     |
      | 64    | 7     | sound, sound, sound | 1     |
      | 64    | 7     | sound, sound, gone  | 1.5   |
      | 64    | 7     | sound, sound, slow  | 1.5   |
      | 64    | 7     | sound, slow, gone   | 2.5   |

  Scenario Outline: A score belongs to one output and one reward request
    Given an item with a reward request and <events> events, <state>
    When the item <change>
    Then the item awaits its score: <awaits>, is finished: <finished>

    Examples:
      | events | state    | change                                   | awaits | finished |
      | 3      | running  | stays as it is                           | no     | no       |
      | 3      | complete | stays as it is                           | yes    | no       |
      | 3      | scored   | stays as it is                           | no     | yes      |
      | 3      | scored   | starts again from its first event        | no     | no       |
      | 3      | scored   | comes again with the same reward request | no     | yes      |
      | 3      | scored   | comes again with another reward request  | yes    | no       |

  # A score that is taken over for another request reaches the trainer as its own.
  Scenario Outline: A score outlives a takeover with the request that it belongs to
    Given an item with a reward request and 3 events, scored
    When its checkpoint, written by <release>, is read where it comes again with <request>
    Then the item has 3 events, awaits its score: <awaits>, is finished: <finished>

    Examples:
      | release              | request                              | awaits | finished |
      | this release         | the same reward request              | no     | yes      |
      | this release         | another identifier                   | yes    | no       |
      | this release         | the same identifier and another body | yes    | no       |
      | this release         | the same identifier at another path  | yes    | no       |
      | this release         | no reward request                    | no     | yes      |
      | the previous release | the same reward request              | yes    | no       |
      | the previous release | another identifier                   | yes    | no       |

  Scenario Outline: Failures are counted on after a takeover, for the same job
    Given an item that failed <runs> runs and <rewards> reward calls in job j1
    When its checkpoint is read by a daemon that opens job <job>
    Then the item has <kept_runs> failed runs and <kept_rewards> failed reward calls

    Examples:
      | runs | rewards | job | kept_runs | kept_rewards |
      | 2    | 0       | j1  | 2         | 0            |
      | 0    | 1       | j1  | 0         | 1            |
      | 2    | 1       | j2  | 0         | 0            |

  Scenario Outline: Outputs that wait for a score are in the checkpoint
    Given an item with a reward request and <events> events, <state>
    Then its checkpoint holds <held> events

    Examples:
      | events | state    | held |
      | 3      | running  | 0    |
      | 3      | complete | 3    |
      | 20     | running  | 20   |

  Scenario Outline: The progress that leaves less work is kept
    Then progress <first> is further than <second>: <expected>

    Examples:
      | first      | second     | expected |
      | 3:running  | 2:running  | yes      |
      | 2:running  | 2:running  | no       |
      | 3:complete | 4:running  | yes      |
      | 3:scored   | 3:complete | yes      |
      | 3:complete | 3:scored   | no       |
