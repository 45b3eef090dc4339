Feature: Replicas of two software versions serve side by side

  Scenario: Items are continued only by replicas of the software that began them
    Given a platform with 4 engines and 2 daemons
    And replicas engine-3,engine-4 run software v2
    When replica engine-1 breaks each stream off after 3 events
    And replica engine-2 breaks each stream off after 3 events
    And replica engine-3 breaks each stream off after 3 events
    And job "j1" with 5 groups of 4 is submitted at edge-1
    Then job "j1" completes at edge-2
    And no item was continued by another software version

  Scenario: Items start again once no replica of their software serves
    Given a platform with 2 engines and 2 daemons
    And the engines send an event every 100 ms
    And replicas engine-2 run software v2
    When job "j1" with 2 groups of 2 is submitted at edge-1
    And an item of "j1" has sent 2 events
    And replica engine-1 breaks each stream off after 1 events
    And replica engine-1 is listed as draining
    Then job "j1" completes at edge-2
    And no item was continued by another software version

  Scenario: A successor continues items with the software that began them
    Given a platform with 4 engines and 3 daemons
    And the engines send an event every 100 ms
    And replicas engine-3,engine-4 run software v2
    When job "j1" with 4 groups of 4 is submitted at edge-1
    And an item of "j1" has sent 2 events
    And the daemon that runs the jobs is asked to stop
    Then job "j1" completes at a running daemon
    And no item was continued by another software version

  Scenario Outline: Which software may continue an item
    Given an item with <events> events written by software <software>
    When its progress is <transfer>
    Then replicas of software <next> may continue it: <may>

    Examples:
      | events | software | transfer          | next | may |
      | 0      | v1       | kept              | v2   | yes |
      | 3      | v1       | kept              | v1   | yes |
      | 3      | v1       | kept              | v2   | no  |
      | 3      | v1       | discarded         | v2   | yes |
      | 3      | v1       | sent to a daemon  | v1   | yes |
      | 3      | v1       | sent to a daemon  | v2   | no  |

  Scenario: A caller's stream is continued only by replicas of the software that began it
    Given a platform with 4 engines and 1 daemons
    And replicas engine-3,engine-4 run software v2
    When replica engine-1 breaks each stream off after 3 events
    And replica engine-2 breaks each stream off after 3 events
    And replica engine-3 breaks each stream off after 3 events
    And replica engine-4 breaks each stream off after 3 events
    And 12 chat streams are read at edge-1
    Then all 12 streams are complete, each event once
    And no stream was continued by another software version

  Scenario Outline: A caller that takes streams up at another daemon
    Given a platform with 4 engines and 4 daemons
    And the engines send an event every 50 ms
    And replicas engine-3,engine-4 run software v2
    And the daemons have had time to list each other
    When 2 events of 12 chat streams are read at <first>
    And <loss>
    And the streams are taken up at <second>
    Then at least <resumed> of them go on to their ends, the others are refused at once
    And no stream was continued by another software version

    Examples:
      | first  | loss                        | second | resumed |
      | edge-1 | nothing is lost             | edge-2 | 12      |
      | edge-1 | daemon edge-1 is killed     | edge-2 | 12      |
      | edge-1 | the replicas of v1 leave    | edge-2 | 1       |
      | edge-1 | the replicas of v1 leave    | edge-1 | 1       |

  Scenario Outline: A caller that takes streams up after all daemons were killed
    Given a platform with 4 engines and 2 daemons
    And the engines send an event every 50 ms
    And replicas engine-3,engine-4 run software <software>
    And the daemons have had time to list each other
    When 2 events of 12 chat streams are read at edge-1
    And <before>
    And all daemons are killed, <meanwhile>, and they start again
    And the streams are taken up at edge-2
    Then at least <resumed> of them go on to their ends, the others are refused at once
    And no stream was continued by another software version

    Examples:
      | software | before                            | meanwhile                       | resumed |
      | v2       | nothing is lost                   | nothing is lost                 | 0       |
      | v2       | the entries of v1 are removed     | nothing is lost                 | 0       |
      | v2       | nothing is lost                   | the entries of v1 are removed   | 0       |
      | v2       | the entries of v1 are removed     | all daemons are killed again    | 0       |
      | v1       | nothing is lost                   | nothing is lost                 | 12      |

  Scenario Outline: Software versions that may have begun a stream
    Given a fleet whose replicas run software v1
    When these changes follow: <changes>
    Then the software versions of the last 120 s are <versions>

    Examples:
      | changes                                     | versions |
      | none                                        | v1       |
      | v2 starts                                   | v1,v2    |
      | v2 starts, v1 is removed                    | v1,v2    |
      | v2 starts, v1 is removed, 119 s pass        | v1,v2    |
      | v2 starts, v1 is removed, 121 s pass        | v2       |
      | v2 starts, 121 s pass                       | v1,v2    |

  Scenario Outline: Streams whose origin is known after several daemons are lost
    Given <daemons> daemons that remember 500 streams
    When <lost> of them are lost, and with <later> new ones a stream is asked for
    Then at least <share> of the streams are known at every daemon

    Examples:
      | daemons | lost | later | share |
      | 1       | 0    | 0     | 1.0   |
      | 9       | 0    | 0     | 1.0   |
      | 9       | 1    | 0     | 1.0   |
      | 9       | 0    | 3     | 0.95  |
      | 9       | 3    | 0     | 0.9   |
      | 72      | 25   | 0     | 0.9   |
      | 72      | 0    | 7     | 0.95  |

  # Guards against a list of replicas from before a daemon was cut off or frozen.
  Scenario Outline: A stream is taken up where its software version is not listed yet
    Given a daemon that follows the replicas of a service, all of software v1
    When it is <state> for 3 s, a replica of v2 joins <joined> s later
    And a stream of unknown origin is taken up there <taken_up> s later
    Then it does not take v1 for the only version

    Examples:
      | state    | joined | taken_up |
      | frozen   | 0.1    | 3.0      |
      | frozen   | 2.9    | 3.0      |
      | frozen   | 2.9    | 3.3      |
      | cut off  | 0.1    | 0.3      |
      | cut off  | 0.1    | 2.9      |
      | cut off  | 2.9    | 3.1      |
      | in touch | 0.9    | 0.9      |

  Scenario: A stream is taken up while all replicas have run one software version
    Given a daemon that follows the replicas of a service, all of software v1
    When a stream of unknown origin is taken up there 1.0 s later
    Then it goes on with v1 within 1.2 s
