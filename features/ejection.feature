Feature: A replica that fails part of its requests gets no more of them

  # Guards against an ejection by a few failures, for a fault that all replicas show, or
  # of a replica that fails hardly more than the others.
  Scenario Outline: Whether a replica's failures are its own fault
    When <failures> of the last <requests> requests to a replica failed, at rates <others> of the others
    Then the replica is ejected: <ejected>

    Examples:
      | failures | requests | others      | ejected |
      | 10       | 20       | 0 0         | yes     |
      | 6        | 20       | 0 0         | no      |
      | 7        | 20       | 0 0         | yes     |
      | 9        | 9        | 0 0         | no      |
      | 10       | 10       | 0 0         | yes     |
      | 10       | 20       | 0.5 0.5     | no      |
      | 10       | 20       | 0.2 0.2     | no      |
      | 14       | 20       | 0.2 0.2     | yes     |
      | 20       | 20       | 1 0 0       | no      |
      | 20       | 20       | 1 0 0 0     | yes     |

  # Guards against ejections that leave too few replicas for the load.
  Scenario Outline: At most a third of a service's replicas is ejected
    When <ejected> of <listed> replicas are ejected
    Then another one may be ejected: <may>

    Examples:
      | ejected | listed | may |
      | 0       | 2      | no  |
      | 0       | 3      | yes |
      | 1       | 5      | no  |
      | 1       | 6      | yes |
      | 7       | 24     | yes |
      | 8       | 24     | no  |

  # Guards against daemons that learn of a failing replica one by one, against a replica
  # that stays away once it serves again, and against a flood of probes.
  Scenario Outline: A replica that fails is ejected everywhere and readmitted
    Given <daemons> daemons that send 10 requests a second each to <replicas> replicas
    When replica r1 <fault> from 2 to 22 s of 45 s
    Then all daemons send it no requests but probes from 8 to 22 s
    And it gets at most <most> requests a second from 8 to 22 s
    And it gets its share of the requests from 35 to 45 s
    And no other replica is ejected

    Examples:
      | daemons | replicas | fault                     | most |
      | 9       | 3        | fails half of its requests | 4    |
      | 70      | 4        | fails half of its requests | 25   |
      | 9       | 3        | hangs                     | 4    |

  # Guards against an ejection everywhere because one daemon has lost its path to a
  # replica, and against a wrong fact that does not end.
  Scenario: What one daemon alone sees ejects a replica only there
    Given 9 daemons that send 10 requests a second each to 3 replicas
    When replica r1 fails all requests of daemon 4 from 2 to 22 s of 45 s
    Then only daemon 4 has ejected it from 8 to 22 s
    And it gets its share of the requests from 35 to 45 s

  Scenario: The daemons that reported a replica die
    Given 9 daemons that send 10 requests a second each to 3 replicas
    When all daemons know that r1 is ejected, but none has seen it fail
    Then they send it requests again after 10 s

  # Guards against parts that are not connected in the daemon.
  Scenario: A plain replica that answers with errors of its own, with real daemons
    Given a platform with 3 plain replicas and 2 daemons
    When 60 lookups are sent to edge-1 and edge-2, 12 at a time
    And replica plain-1 answers 1000 requests with a failure
    And 240 lookups are sent to edge-1 and edge-2, 12 at a time
    Then edge-1 and edge-2 have ejected plain-1
    And at most 3 of the next 30 lookups at edge-1 fail
