Feature: Real daemons keep an accepted setting through failures

  Scenario Outline: A change reaches daemons that fail in the middle of it
    Given real daemons that keep settings
    When an operator changes a setting while a daemon is <fault>
    Then all real daemons show the change and none ever showed an older one

    Examples:
      | fault                          |
      | paused for 2 s                 |
      | paused for 6 s                 |
      | killed and started again       |
      | stopped and started again      |

  Scenario Outline: The platform fails while a setting is changed
    Given real daemons that keep settings
    When an operator changes a setting while the platform <fault>
    Then the change of settings is answered <status> <outcome>
    And all real daemons show the change and none ever showed an older one

    Examples:
      | fault              | status | outcome |
      | loses write answers | 200   | -       |
      | is slow            | 200    | -       |
      | is down            | 503    | not_run |
      | hangs              | 503    | not_run |

  Scenario: A daemon that starts in an outage shows nothing rather than defaults
    Given real daemons that keep settings
    When an operator changes a setting and a daemon restarts while the platform is down
    Then the restarted daemon shows no settings until the platform is back
    And all real daemons show the change and none ever showed an older one

  Scenario Outline: A stranger cannot open a link to a real daemon
    Given real daemons that keep settings
    When a stranger opens a link with <credentials>
    Then the real daemon gives the stranger nothing

    Examples:
      | credentials                |
      | no TLS                     |
      | keys of another authority  |
