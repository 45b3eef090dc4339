Feature: Usage reports

  Scenario Outline: A request counts once, in the window of its first executed attempt
    Given windows of 5 s
    When a request's attempts are <attempts>
    Then <counted> is counted and <open> is open

    Examples: an attempt is sent at a time; a replica answers or refuses it
      | attempts                                      | counted       | open     |
      | sent 4, settled                               | window 0      | nothing  |
      | sent 4                                        | nothing       | window 0 |
      | sent 4, refused 4, settled                    | nothing       | nothing  |
      | settled                                       | nothing       | nothing  |
      | sent 4, refused 4, sent 6, settled            | window 1      | nothing  |
      | sent 4, refused 4, sent 6                     | nothing       | window 1 |
      | sent 4, sent 6                                | nothing       | window 0 |
      | sent 4, sent 6, settled                       | window 0      | nothing  |
      | sent 4, sent 6, refused 4                     | nothing       | window 1 |
      | sent 4, sent 6, refused 6, settled, settled   | window 0      | nothing  |
      | sent 4, settled, refused 4                    | window 0      | nothing  |
      | began 6, began 11, settled                    | window 1      | nothing  |

  Scenario Outline: The gateway counts what replicas executed
    Given 3 daemons whose customer sends <kind> requests
    When 6 requests are sent to daemon 0 while <state>
    Then daemon 0 has counted <counted> and the others none

    Examples:
      | kind   | state                                           | counted |
      | lookup | all is well                                     | 6       |
      | stream | all is well                                     | 6       |
      | lookup | it is cut from the replicas, and others are not | 6       |
      | stream | it is cut from the replicas, and others are not | 6       |
      | lookup | all daemons are cut from the replicas           | 0       |
      | public | all is well                                     | 0       |

  Scenario Outline: Reports are right, on time and never differ
    Given <count> daemons that count requests, with <clocks>
    When <event> while requests arrive
    Then the reports of all windows are right to within <error> %
    And no report differs from another of its window, and at most <late> are late

    Examples: nothing is lost
      | count | clocks                               | event                              | error | late |
      | 9     | equal clocks                         | nothing happens                    | 0     | 0    |
      | 9     | clocks that differ by up to 400 ms   | nothing happens                    | 2     | 0    |
      | 9     | one clock that is ahead by 30 s      | nothing happens                    | 0     | 0    |
      | 9     | a dispatcher that is behind by 2 s   | nothing happens                    | 0     | 0    |
      | 150   | equal clocks                         | nothing happens                    | 0     | 0    |
      | 150   | equal clocks                         | a daemon that collects is killed   | 1     | 0    |
      | 9     | equal clocks                         | the holder is stopped              | 0     | 0    |
      | 9     | equal clocks                         | the API is down for 4 s            | 0     | 0    |
      | 9     | equal clocks                         | 3 answers of the API are lost      | 0     | 0    |
      | 9     | equal clocks                         | 3 answers of the store are lost    | 0     | 0    |
      | 9     | equal clocks                         | a daemon is cut from the holder    | 0     | 0    |
      | 9     | equal clocks                         | the holder is frozen for 8 s       | 0     | 0    |
      | 9     | equal clocks                         | the store is down for 6 s          | 0     | 2    |

    Examples: a daemon takes with it what it counted since it last sent its totals
      | count | clocks       | event                                               | error | late |
      | 9     | equal clocks | a daemon is frozen for 8 s                          | 2     | 0    |
      | 9     | equal clocks | a daemon is killed                                  | 2     | 0    |
      | 9     | equal clocks | the holder is killed                                | 2     | 0    |
      | 9     | equal clocks | the dispatcher is killed                            | 2     | 0    |
      | 9     | equal clocks | the holder takes the place of the killed dispatcher | 2     | 0    |

  Scenario Outline: The holder decides what to store and to report
    Given windows of 5 s, of which <stored> are stored and <answered> are answered
    When the holder plans its reports <now> s after the end of window 9, <complete>
    Then it stores <store>, sends <send> and drops <drop>

    Examples: the report of window 9 is due after 10 s and given up after 30 s
      | stored    | answered | now | complete               | store | send | drop    |
      | 7, 8      | 7, 8     | 2   | all have closed it     | none  | none | none    |
      | 7, 8      | 7, 8     | 3   | all have closed it     | 9     | none | none    |
      | 7, 8      | 7, 8     | 4   | some have not          | none  | none | none    |
      | 7, 8      | 7, 8     | 6.1 | some have not          | 9     | none | none    |
      | 7, 8      | 7, 8     | 6.1 | this holder is new     | none  | none | none    |
      | 7, 8, 9   | 7, 8     | 4   | all have closed it     | none  | 9    | none    |
      | 7, 8, 9   | none     | 4   | all have closed it     | none  | 8, 9, 7 | none |
      | 9         | none     | 31  | all have closed it     | 10, 11, 12, 13, 14 | none | 9 |
      | 8         | 8        | 31  | all have closed it     | 10, 11, 12, 13, 14 | none | 9 |
      | 7, 8      | 7, 8     | 6.1 | nobody knows anything  | none  | none | 9       |

  Scenario: Stored counts never change
    Then a stored window is not stored again with other counts
