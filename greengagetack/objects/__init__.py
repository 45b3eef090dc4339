"""greengagetack.objects: clients and local copies of the platform's object store."""
