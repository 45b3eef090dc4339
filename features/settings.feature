Feature: Accepted settings reach every daemon and never revert

  Scenario Outline: A change reaches every daemon, whoever makes it
    Given a settings cell of <count> members
    When <way> changes the fleet's settings to version 2
    Then all settings members have version 2 in force

    Examples:
      | count | way                 |
      | 1     | a member            |
      | 3     | a member            |
      | 9     | a member            |
      | 9     | the platform        |
      | 3     | a dying member      |
      | 9     | a dying member      |

  Scenario Outline: A lost push is repaired
    Given a settings cell of 4 members
    And settings member v2 confirms pushes without applying them
    When <way> changes the fleet's settings to version 2
    Then all settings members have version 2 in force

    Examples:
      | way          |
      | a member     |
      | the platform |

  Scenario: Members that have not confirmed a change are reported
    Given a settings cell of 4 members
    And settings member v3 is stopped without being suspected
    When a member changes the fleet's settings to version 2
    Then settings members v0 v1 v2 have confirmed and v3 is missing

  Scenario Outline: A restarted daemon loads the highest version
    Given a settings cell of 3 members
    And a member changes the fleet's settings to version 5
    And the settings platform is <platform>
    When settings member <member> is restarted
    Then all settings members have version 5 in force
    And settings member <member> never had a version other than 5

    Examples:
      | platform | member |
      | up       | v0     |
      | down     | v0     |
      | down     | v2     |

  Scenario: A restarted daemon does not revert to the version of a lagging member
    Given a settings cell of 3 members
    And settings member v2 ignores newer versions
    And a member changes the fleet's settings to version 5
    And the settings platform is down
    And settings member v1 is stopped without being suspected
    When settings member v0 is restarted
    Then settings member v0 stays without settings
    When the settings platform recovers
    Then settings member v0 has version 5 in force
    And settings member v0 never had a version other than 5

  Scenario: A daemon with neither platform nor peers is not ready
    Given a settings cell of 1 members
    And the settings platform is down
    When settings member v0 is restarted
    Then settings member v0 stays without settings
    When the settings platform recovers
    Then all settings members have version 1 in force

  Scenario: A cell restarted in an outage waits for the platform
    Given a settings cell of 3 members
    And a member changes the fleet's settings to version 3
    And the settings platform is down
    When all settings members are restarted
    Then settings member v1 stays without settings
    When the settings platform recovers
    Then all settings members have version 3 in force

  Scenario: A change made during an outage is applied after it
    Given a settings cell of 3 members
    And the settings platform is down
    When the settings platform recovers with version 2
    Then all settings members have version 2 in force

  Scenario: An older version from a reordered push is ignored
    Given a settings cell of 3 members
    And a member changes the fleet's settings to version 4
    When an outdated push of version 3 reaches settings member v1
    Then all settings members have version 4 in force

  Scenario: Members that load from the platform open only a few links
    Given a settings cell of 12 members
    Then settings members have opened at most 4 links each
