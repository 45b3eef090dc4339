Feature: Signals that arrive while a daemon starts

  Scenario Outline: A reload does not end a daemon that is starting
    Given a platform without daemons
    When a daemon starts and gets SIGHUP as <moment>
    Then the daemon becomes ready, and has carried out the reload

    Examples:
      | moment                               |
      | its first library is loaded          |
      | its settings are read                |
      | the parts of the daemon are loaded   |

  Scenario Outline: A start that is ended exits cleanly and leaves nothing behind
    Given a platform without daemons
    When a daemon starts and gets <signal> as <moment>
    Then the daemon exits with code 0 within 10 s
    And it has written nothing to the store

    Examples:
      | signal  | moment                               |
      | SIGTERM | its first library is loaded          |
      | SIGTERM | its settings are read                |
      | SIGTERM | the parts of the daemon are loaded   |
      | SIGINT  | its first library is loaded          |
