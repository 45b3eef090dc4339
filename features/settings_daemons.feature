Feature: Accepted settings survive failures of real daemons

  Scenario Outline: A change reaches daemons that fail while it is made
    Given real daemons that keep settings
    When an operator changes a setting while a daemon is <fault>
    Then all real daemons return the change and none went back to an older version

    Examples:
      | fault                          |
      | paused for 2 s                 |
      | paused for 6 s                 |
      | killed and started again       |
      | stopped and started again      |

  Scenario Outline: The platform fails while a setting is changed
    Given real daemons that keep settings
    When an operator changes a setting while the platform <fault>
    Then the settings change is answered with <status> <outcome>
    And all real daemons return the change and none went back to an older version

    Examples:
      | fault              | status | outcome |
      | loses write answers | 200   | -       |
      | is slow            | 200    | -       |
      | is down            | 503    | not_run |
      | hangs              | 503    | not_run |

  Scenario: A daemon that starts in an outage returns no settings instead of defaults
    Given real daemons that keep settings
    When an operator changes a setting and a daemon restarts while the platform is down
    Then the restarted daemon returns no settings until the platform recovers
    And all real daemons return the change and none went back to an older version

  Scenario Outline: An unauthenticated peer cannot open a link to a real daemon
    Given real daemons that keep settings
    When an unauthenticated peer opens a link with <credentials>
    Then the real daemon refuses the link

    Examples:
      | credentials                |
      | no TLS                     |
      | keys of another authority  |
