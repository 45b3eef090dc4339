"""greengagetack.scaling: decides how many replicas each service has in each zone."""
