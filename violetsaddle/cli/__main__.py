from violetsaddle.cli.main import main

if __name__ == "__main__":
    main(prog_name="violetsaddle")
