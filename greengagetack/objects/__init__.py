"""greengagetack.objects: clients of the platform's services."""
