"""greengagetack.platform: clients of the platform's services."""
