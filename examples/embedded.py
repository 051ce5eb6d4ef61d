"""Places one call from a program with an embedded router.

Run it from the repository's root while `examples/toy_switch.py` is running.
"""

from rowanmast.embed import CallRequest, EmbeddedRouter

with EmbeddedRouter.from_files("examples/config.json") as router:
    router.wait_ready()
    with router.call_blocking(CallRequest("7f3a9c21", dest=1, klass="item-lookup", wait_s=1.5)) as call:
        print("stands:", call.text.strip())
        print("over:", call.wait().by.value)
