Feature: Duties with a single holder

  Scenario Outline: Daemons take a duty in the order of their ranks
    Given daemons that rank for a duty: <daemons>
    When vm-1 is the dispatcher and <other> holds the other duty
    Then the order of ranks begins with <order>

    Examples: by cores, then by a hash that differs between duties
      | daemons                          | other | order            |
      | vm-1 2, vm-2 2, vm-3 4           | vm-9  | vm-3, vm-2, vm-1 |
      | vm-1 4, vm-2 2, vm-3 2           | vm-3  | vm-2, vm-3, vm-1 |
      | vm-1 4, vm-2 3, vm-3 2           | vm-2  | vm-3, vm-2, vm-1 |

    Examples: small VMs come after all others
      | daemons                | other | order            |
      | vm-1 4, vm-2 1, vm-3 4 | vm-9  | vm-3, vm-1, vm-2 |
      | vm-1 1, vm-2 4, vm-3 4 | vm-3  | vm-2, vm-3, vm-1 |

  Scenario Outline: A failure leads to the right holder, and no rule is broken
    Given <count> daemons with the duty of usage reports
    When <failure> while vm-1 holds the duty
    Then <holder> holds the duty within <limit> s
    And no rule of the platform's API is broken
    And all windows are reported, at most <late> late

    Examples: the holder fails; 6.3 s are the lease and the minimum time between calls
      | count | failure                                       | holder  | limit | late |
      | 9     | the holder is killed                          | another | 7     | 0    |
      | 9     | the holder is killed just before its report   | another | 7     | 0    |
      | 9     | the holder is frozen for 8 s                  | another | 7     | 0    |
      | 9     | the holder is frozen for 1 s                  | vm-1    | 2     | 0    |
      | 9     | the holder is frozen for 8 s before its write | another | 7     | 0    |
      | 9     | the holder is cut from the store              | another | 8     | 0    |
      | 9     | the holder is cut from the dispatcher         | another | 9     | 0    |
      | 9     | the holder and the dispatcher are killed      | another | 8     | 0    |
      | 9     | the holder and its first successor are killed | another | 8     | 0    |
      | 2     | the holder is killed                          | another | 8     | 0    |

    Examples: the holder gives the duty up
      | count | failure                                 | holder  | limit | late |
      | 9     | the holder is stopped                   | another | 5     | 0    |
      | 9     | the holder is cut from the platform API | another | 8     | 0    |
      | 9     | the holder becomes the dispatcher       | another | 5     | 0    |

    Examples: the holder keeps the duty
      | count | failure                                    | holder | limit | late |
      | 9     | the platform API is down for all           | vm-1   | 0     | 0    |
      | 9     | the dispatcher is killed                   | vm-1   | 0     | 0    |
      | 1     | the holder becomes the dispatcher          | vm-1   | 0     | 0    |
      | 9     | a larger VM joins                          | vm-1   | 0     | 0    |

    Examples: nobody can hold it for a while, or all daemons are new
      | count | failure                                | holder  | limit | late |
      | 9     | the store is down for 6 s              | someone | 14    | 2    |
      | 9     | all daemons are killed and start again | someone | 10    | 1    |

  Scenario Outline: The platform's API answers
    Given a stand-in of the platform's API that is <state>
    When a report is sent under a lease that is <lease>
    Then the report ends as <end>
    And the API has recorded <calls> calls

    Examples:
      | state                     | lease   | end      | calls |
      | up                        | held    | accepted | 1     |
      | up                        | lost    | not_sent | 0     |
      | full                      | held    | conflict | 0     |
      | limited                   | held    | limited  | 0     |
      | down                      | held    | refused  | 0     |
      | silent                    | held    | unknown  | 0     |
      | slow                      | held    | unknown  | 1     |
      | losing its answers        | held    | unknown  | 1     |
      | gone                      | held    | not_sent | 0     |

  Scenario Outline: The settings name the duties of a deployment
    Given a settings file with the section <section>
    Then the duties of the deployment are <duties>

    Examples:
      | section                                                    | duties                       |
      | none                                                       | none                         |
      | [cloud] duties = ["usage_report"]                          | none                         |
      | [cloud] address = "10.0.0.1:1", duties = ["usage_report"]  | usage reports                |
      | [cloud] address = "10.0.0.1:1", duties = ["autoscale"]     | scaling                      |
      | [cloud] address = "10.0.0.1:1", duties = ["other"]         | neither                      |

  Scenario: Messages of the previous release decode, and ours decode there
    Then a pong without times, and a pong with unknown fields, decode

  Scenario Outline: Totals arrive whole at another daemon
    When totals of <count> daemons are sent over HTTP
    Then the same totals arrive

    Examples: more than 512 bytes are compressed
      | count |
      | 0     |
      | 1     |
      | 41    |

  Scenario: Daemon processes report usage, also after the holder's death
    Given a platform whose daemons report usage in windows of 2 s
    When the holder's process is killed after 2 reports
    Then another process reports the next windows with a higher token
    And no rule of the platform's API is broken
