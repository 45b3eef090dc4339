"""greengagetack.keeper: admission control and relaying for each endpoint."""
